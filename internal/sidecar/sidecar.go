// Package sidecar is the process beside a target: the only way to that target.
// It holds reservations of waiting requests, claims the one whose client
// account is due when the target has room, runs it and buffers the answer.
package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

const (
	// defaultColdRunning is how many requests a cold target may run.
	defaultColdRunning = 1
	// defaultMaxRunning is how many requests a warm target may run.
	defaultMaxRunning = 16
	// sweepEvery is how often ended jobs are dropped.
	sweepEvery = time.Second
	// linger is how long an ended answer is kept for a router to resume.
	linger = 30 * time.Second
)

// Options are what a sidecar needs.
type Options struct {
	// Target is the name of the target in the configuration.
	Target string
	// TargetURL is the base URL of the target.
	TargetURL string
	// Incarnation tells this start of the process from all others.
	Incarnation uint64
	// Store holds the configuration in force.
	Store *configstore.Store
	// Pool reaches the routers.
	Pool *rpc.Pool
	// Log takes structured logs.
	Log logr.Logger
}

// Sidecar is the process beside one target.
type Sidecar struct {
	opts   Options
	engine *engine
	wake   chan struct{}
	runs   conc.WaitGroup

	mu       sync.Mutex
	gate     *capacity.Gate
	counters *fairness.Counters
	waiting  *reservations
	jobs     map[string]*job
	draining bool
}

// New returns a sidecar that does nothing until Run.
func New(o Options) *Sidecar {
	s := &Sidecar{
		opts:    o,
		engine:  newEngine(o.TargetURL),
		wake:    make(chan struct{}, 1),
		gate:    newGate(o.Store.Current(), o.Target),
		waiting: newReservations(),
		jobs:    make(map[string]*job),
	}
	s.counters = fairness.New(s.weight)
	return s
}

// newGate returns the gate for a target as the configuration declares it.
func newGate(snap *configstore.Snapshot, target string) *capacity.Gate {
	cold, warm := defaultColdRunning, defaultMaxRunning
	if snap != nil {
		t := snap.Doc.GetTargets()[target]
		if n := int(t.GetColdRunning()); n > 0 {
			cold = n
		}
		if n := int(t.GetMaxRunning()); n > 0 {
			warm = n
		}
	}
	return capacity.New(cold, warm)
}

// weight returns the weight of a client account in the configuration in force.
func (s *Sidecar) weight(account string) float64 {
	if snap := s.opts.Store.Current(); snap != nil {
		return snap.Weight(account)
	}
	return 1
}

// Run does the sidecar's duties until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	var duties conc.WaitGroup
	duties.Go(func() { s.dispatch(ctx) })
	duties.Go(func() { s.sweep(ctx) })
	duties.Wait()
}

// Drain stops new work and waits until all running requests have ended or the
// context has.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for s.Running() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Running returns the number of requests that run or are being claimed.
func (s *Sidecar) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Running()
}

// mayStart reports whether the target may start new work: the configuration
// knows it, its availability zone is in, and the sidecar is not draining. The
// caller holds the lock.
func (s *Sidecar) mayStart() bool {
	snap := s.opts.Store.Current()
	return !s.draining && snap != nil && snap.MayStart(s.opts.Target)
}

// poke wakes the dispatcher.
func (s *Sidecar) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
		// It is due to wake already.
	}
}

// sweep drops what nobody needs any more, until the context ends.
func (s *Sidecar) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.dropOld(time.Now())
		}
	}
}

// dropOld drops ended jobs that are past their time.
func (s *Sidecar) dropOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.state == ended && now.Sub(j.endedAt) > linger {
			delete(s.jobs, id)
		}
	}
}

// Status returns what the sidecar knows of itself.
func (s *Sidecar) Status() *zinniaquayv1.StatusResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &zinniaquayv1.StatusResponse{
		ConfigurationNumber: s.opts.Store.Number(),
		Waiting:             uint64(s.waiting.len()),
		Running:             uint64(s.gate.Running()),
		Window:              uint64(s.gate.Window()),
	}
}
