// Package timeline records the events of a process with timestamps of a hybrid
// logical clock, and merges the events of several processes in causal order.
package timeline

import (
	"context"
	"sync"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// DefaultCapacity is the number of events that a process keeps.
	DefaultCapacity = 8192
	// MaxDetailBytes limits the detail of an event; longer details are truncated.
	MaxDetailBytes = 512
	// MaxResponseEvents is the maximum number of events in one response.
	MaxResponseEvents = 4096
)

// Recorder is a bounded buffer of a process's events. When it is full, the oldest
// event is dropped and counted. It is safe for concurrent use, and a nil Recorder
// records nothing.
type Recorder struct {
	process      string
	now          func() uint64
	droppedTotal metrics.Counter

	mu      sync.Mutex
	events  []*zinniaquayv1.Event
	next    int
	dropped uint64
}

// NewRecorder returns a recorder that keeps up to capacity events of a process.
// now returns strictly increasing timestamps of the process's hybrid logical clock.
func NewRecorder(process string, capacity int, now func() uint64, registry metrics.Registry) *Recorder {
	return &Recorder{
		process:      process,
		now:          now,
		droppedTotal: metrics.GetOrRegisterCounter("timeline_dropped_total", registry),
		events:       make([]*zinniaquayv1.Event, 0, capacity),
	}
}

// Record adds an event. The request ID may be empty.
func (r *Recorder) Record(kind Kind, requestID, detail string) {
	if r == nil {
		return
	}
	if !kind.Known() {
		kind, detail = Unlisted, string(kind)+": "+detail
	}
	if len(detail) > MaxDetailBytes {
		detail = detail[:MaxDetailBytes]
	}
	event := &zinniaquayv1.Event{Process: r.process, Kind: string(kind), RequestId: requestID, Detail: detail}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The timestamp is taken under the lock, so that the ring buffer stays in
	// timestamp order.
	event.Clock = r.now()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
	r.droppedTotal.Inc(1)
}

// Events implements PeerService.Events. It returns the oldest matching events in
// timestamp order.
func (r *Recorder) Events(_ context.Context, req *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
	limit := int(req.GetLimit())
	if limit == 0 || limit > MaxResponseEvents {
		limit = MaxResponseEvents
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &zinniaquayv1.EventsResponse{Dropped: r.dropped}
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if len(res.Events) == limit {
			break
		}
		if matches(event, req) {
			res.Events = append(res.Events, event)
		}
	}
	return res, nil
}

func matches(event *zinniaquayv1.Event, req *zinniaquayv1.EventsRequest) bool {
	if event.GetClock() <= req.GetAfterClock() {
		return false
	}
	return req.GetRequestId() == "" || req.GetRequestId() == event.GetRequestId()
}
