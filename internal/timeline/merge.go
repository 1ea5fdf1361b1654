package timeline

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// parallelCalls is the number of processes that are queried at a time.
	parallelCalls = 16
	// callTimeout limits the call to one process.
	callTimeout = 2 * time.Second
)

// Source is a process whose events can be queried.
type Source struct {
	// Process is the name of the process.
	Process string
	// Events queries the process.
	Events func(context.Context, *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error)
}

// Timeline holds the merged events of several processes.
type Timeline struct {
	// Events of all processes that responded, in causal order.
	Events []*zinniaquayv1.Event
	// Silent lists the processes whose call failed or timed out, sorted.
	Silent []string
	// Dropped is the number of events dropped by each process that dropped any.
	Dropped map[string]uint64
}

// Collect queries all sources and merges their responses. The request's limit, if
// set, also bounds the total number of events.
func Collect(ctx context.Context, sources []Source, req *zinniaquayv1.EventsRequest) Timeline {
	out := Timeline{Dropped: make(map[string]uint64)}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(parallelCalls)
	for _, source := range sources {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			res, err := source.Events(ctx, req)
			mu.Lock()
			defer mu.Unlock()
			out.add(source.Process, res, err)
		})
	}
	calls.Wait()
	slices.Sort(out.Silent)
	slices.SortStableFunc(out.Events, causalOrder)
	if limit := int(req.GetLimit()); limit > 0 && len(out.Events) > limit {
		out.Events = out.Events[:limit]
	}
	return out
}

func (t *Timeline) add(process string, res *zinniaquayv1.EventsResponse, err error) {
	if err != nil {
		t.Silent = append(t.Silent, process)
		return
	}
	t.Events = append(t.Events, res.GetEvents()...)
	if res.GetDropped() > 0 {
		t.Dropped[process] = res.GetDropped()
	}
}

// causalOrder compares events so that a cause sorts before its effect: every
// message carries the sender's clock, and the receiver advances its own clock
// beyond it. Events with equal stamps are concurrent and sorted by process.
func causalOrder(a, b *zinniaquayv1.Event) int {
	return cmp.Or(cmp.Compare(a.GetClock(), b.GetClock()), cmp.Compare(a.GetProcess(), b.GetProcess()))
}
