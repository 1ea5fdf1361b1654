// Package sidecar is the process beside a target: the only way to that target.
// It holds reservations of waiting requests, claims the one whose client
// account is due when the target has room, runs it and buffers the answer.
package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

const (
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
	// Name of the process, unique in the fleet.
	Name string
	// Metrics takes metrics. Default a registry of its own.
	Metrics metrics.Registry
	// Holder keeps this process's part of the ledger. Without one the order of
	// client accounts is that of the service given here alone.
	Holder *ledger.Holder
	// Members names the processes that hold parts of the ledger.
	Members func() []ledger.Member
	// Routers names the addresses (IP:port) of routers to sample beside those
	// that have placed reservations here. Default none.
	Routers func() []string
	// BufferBytes bounds the answers that are kept for routers. Default 64 MiB.
	BufferBytes int64
	// Events takes the events of the time line; nil for none.
	Events *timeline.Recorder
	// Verdicts is what the process knows of versions. Without it no evidence is
	// gathered and no version counts as bad.
	Verdicts *move.VerdictSet
	// EvidenceRouters returns the routers that may hold evidence. Required with
	// Verdicts.
	EvidenceRouters func() []evidence.Member
	// Platform gives the lease and the permits for orders. Without it the target
	// gets none.
	Platform OrderPlatform
	// DialTarget opens connections to the target. Default TCP.
	DialTarget rpc.DialFunc
}

// Sidecar is the process beside one target.
type Sidecar struct {
	opts   Options
	engine *engine
	budget *budget
	wake   chan struct{}
	runs   conc.WaitGroup

	mu sync.Mutex
	// cold is what the time line says of the target.
	cold     bool
	gate     *capacity.Gate
	counters *fairness.Counters
	waiting  *reservations
	routers  *routers
	jobs     map[string]*job
	draining bool
	zoneOut  bool
	loaded   bool

	// reporter is nil where no evidence is gathered.
	reporter *evidence.Reporter
	// configured is the number of the configuration that gate and counters follow.
	configured uint64
	// rate is the service a second that the target gave lately, and given what it
	// had given at the time counted.
	rate, given float64
	counted     time.Time
}

// New returns a sidecar that does nothing until Run.
func New(o Options) *Sidecar {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	s := &Sidecar{
		opts:    o,
		engine:  newEngine(o.TargetURL, o.DialTarget, o.Metrics),
		budget:  newBudget(o.BufferBytes, o.Metrics),
		wake:    make(chan struct{}, 1),
		gate:    capacity.New(time.Now(), boundsOf(o.Store.Current(), o.Target)),
		routers: newRouters(o.Routers),
		jobs:    make(map[string]*job),
	}
	s.loaded = o.Platform == nil
	if o.Verdicts != nil {
		s.reporter = s.newReporter()
	}
	s.counters = fairness.New(s.weight)
	s.waiting = newReservations(s.counters)
	s.setCredit()
	return s
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
	s.mu.Lock()
	s.gate.AwaitLoad(time.Now(), awaitLoad)
	s.mu.Unlock()
	var duties conc.WaitGroup
	duties.Go(func() { s.dispatch(ctx) })
	duties.Go(func() { s.watchTarget(ctx) })
	duties.Go(func() { s.sample(ctx) })
	duties.Go(func() { s.report(ctx) })
	duties.Go(func() { s.sweep(ctx) })
	if s.reporter != nil {
		duties.Go(func() { s.reporter.Run(ctx) })
	}
	if s.opts.Platform != nil {
		duties.Go(func() { s.giveOrders(ctx) })
	}
	duties.Wait()
}

// Drain stops new work and waits until all running requests have ended and
// their routers have the answers, or until the context ends. An answer that no
// router fetches is waited for no longer than linger.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for s.owed() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// owed returns the number of requests whose answers are not with their routers.
func (s *Sidecar) owed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	owed := 0
	for _, j := range s.jobs {
		if j.state != ended || j.granted {
			owed++
		}
	}
	return owed
}

// Running returns the number of requests that run or are being claimed.
func (s *Sidecar) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Running()
}

// mayStart reports whether the target may start new work: the configuration
// knows it, its availability zone is in, its version is loaded and not bad, the
// sidecar is not draining, and there is room for the answer. The caller holds
// the lock.
func (s *Sidecar) mayStart() bool {
	snap := s.opts.Store.Current()
	if s.draining || !s.loaded || s.budget.scarce() || snap == nil {
		return false
	}
	s.watchZone(snap)
	return snap.MayStart(s.opts.Target) && !s.bad(snap)
}

// watchZone lets the target ramp up as if cold when its availability zone comes
// back. The caller holds the lock.
func (s *Sidecar) watchZone(snap *configstore.Snapshot) {
	out := !snap.MayStart(s.opts.Target)
	if s.zoneOut && !out {
		s.gate.TurnCold(time.Now())
	}
	s.zoneOut = out
}

// bad reports whether the target's version is known to be bad.
func (s *Sidecar) bad(snap *configstore.Snapshot) bool {
	if s.opts.Verdicts == nil {
		return false
	}
	t := snap.Doc.GetTargets()[s.opts.Target]
	return versions.Bad(snap, s.opts.Verdicts, t.GetService(), t.GetVersion())
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
	s.waiting.expire(now)
	s.countRate(now)
	s.setCredit()
	for _, j := range s.jobs {
		if j.state == ended && now.Sub(j.endedAt) > linger {
			s.drop(j)
		}
	}
	s.poke()
}

// drop forgets an ended job and its answer. The caller holds the lock.
func (s *Sidecar) drop(j *job) {
	delete(s.jobs, j.id)
	j.answer.drop()
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
		Cold:                s.gate.Cold(time.Now()),
		Totals:              s.totals(),
	}
}
