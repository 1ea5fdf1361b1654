// Package sidecar implements the process that runs beside a target and is the
// only path to it. A sidecar holds reservations of waiting requests. When the
// target has capacity, the sidecar claims the request of the client account
// that is next in fair-share order, runs it and buffers the response.
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
	// sweepInterval is how often expired jobs and reservations are removed.
	sweepInterval = time.Second
	// responseRetention is how long the response of an ended job is kept so
	// that a router can resume reading it.
	responseRetention = 30 * time.Second
)

// Options are the parameters of a sidecar.
type Options struct {
	// Target is the name of the target in the configuration.
	Target string
	// TargetURL is the base URL of the target.
	TargetURL string
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// Store holds the current configuration.
	Store *configstore.Store
	// Pool provides the connections to other processes.
	Pool *rpc.Pool
	// Log receives structured logs.
	Log logr.Logger
	// Name is the name of the process, unique in the fleet.
	Name string
	// Metrics is the registry for metrics. Default: a new registry.
	Metrics metrics.Registry
	// Holder holds this process's part of the ledger. Without it, client
	// accounts are ordered only by the service that this sidecar has provided.
	Holder *ledger.Holder
	// Members returns the processes that hold parts of the ledger.
	Members func() []ledger.Member
	// Routers returns the addresses (IP:port) of routers to sample in addition
	// to those that have placed reservations here. Default none.
	Routers func() []string
	// BufferBytes is the maximum total size of the responses kept for routers.
	// Default 64 MiB.
	BufferBytes int64
	// Events records timeline events; nil disables recording.
	Events *timeline.Recorder
	// Verdicts holds the version verdicts that this process has received.
	// Without it, no evidence is collected and no version is treated as bad.
	Verdicts *move.VerdictSet
	// EvidenceRouters returns the routers that may hold evidence. Required with
	// Verdicts.
	EvidenceRouters func() []evidence.Member
	// Platform provides the lease and the permits for orders. Without it, no
	// orders are sent to the target.
	Platform OrderPlatform
	// DialTarget opens connections to the target. Default TCP.
	DialTarget rpc.DialFunc
}

// Sidecar runs the requests of one target and buffers their responses.
type Sidecar struct {
	opts   Options
	client *targetClient
	budget *budget
	wake   chan struct{}
	claims conc.WaitGroup

	mu sync.Mutex
	// recordedCold is the state of the target last recorded in the timeline.
	recordedCold bool
	gate         *capacity.Gate
	counters     *fairness.Counters
	reservations *reservations
	knownRouters *routers
	jobs         map[string]*job
	draining     bool
	zoneWasOut   bool
	loaded       bool

	// reporter is nil if no evidence is collected.
	reporter *evidence.Reporter
	// appliedConfig is the number of the configuration last applied to gate and
	// counters.
	appliedConfig uint64
	// serviceRate is the decaying maximum of the service per second that the
	// target provided. serviceAtLastUpdate is the total service at
	// lastRateUpdate.
	serviceRate, serviceAtLastUpdate float64
	lastRateUpdate                   time.Time
}

// New returns a sidecar that is idle until Run is called.
func New(o Options) *Sidecar {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	s := &Sidecar{
		opts:         o,
		client:       newTargetClient(o.TargetURL, o.DialTarget, o.Metrics),
		budget:       newBudget(o.BufferBytes, o.Metrics),
		wake:         make(chan struct{}, 1),
		gate:         capacity.New(time.Now(), boundsOf(o.Store.Current(), o.Target)),
		knownRouters: newRouters(o.Routers),
		jobs:         make(map[string]*job),
	}
	s.loaded = o.Platform == nil
	if o.Verdicts != nil {
		s.reporter = s.newReporter()
	}
	s.counters = fairness.New(s.weight)
	s.reservations = newReservations(s.counters)
	s.setCredit()
	return s
}

// weight returns the weight of a client account in the current configuration.
func (s *Sidecar) weight(account string) float64 {
	if snap := s.opts.Store.Current(); snap != nil {
		return snap.Weight(account)
	}
	return 1
}

// Run runs the sidecar's background loops until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	s.mu.Lock()
	s.gate.AwaitLoad(time.Now(), startupLoadTimeout)
	s.mu.Unlock()
	var loops conc.WaitGroup
	loops.Go(func() { s.dispatch(ctx) })
	loops.Go(func() { s.pollTarget(ctx) })
	loops.Go(func() { s.sample(ctx) })
	loops.Go(func() { s.syncLedger(ctx) })
	loops.Go(func() { s.sweep(ctx) })
	if s.reporter != nil {
		loops.Go(func() { s.reporter.Run(ctx) })
	}
	if s.opts.Platform != nil {
		loops.Go(func() { s.runOrders(ctx) })
	}
	loops.Wait()
}

// Drain stops accepting new work and waits until all running requests have
// ended and their routers have received the responses, or until the context
// ends. It does not wait longer than responseRetention for a response that no
// router reads.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for s.undelivered() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// undelivered returns the number of requests whose responses have not been
// delivered to their routers.
func (s *Sidecar) undelivered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range s.jobs {
		if j.state != ended || j.granted {
			n++
		}
	}
	return n
}

// Running returns the number of requests that are running or being claimed.
func (s *Sidecar) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Running()
}

// mayStart reports whether the target may start new work: the configuration
// contains it, its availability zone is in service, its version is loaded and
// not bad, the sidecar is not draining, and at most half of the response buffer
// is used. The caller holds the lock.
func (s *Sidecar) mayStart() bool {
	snap := s.opts.Store.Current()
	if s.draining || !s.loaded || s.budget.overHalfUsed() || snap == nil {
		return false
	}
	s.updateZoneState(snap)
	return snap.MayStart(s.opts.Target) && !s.versionBad(snap)
}

// updateZoneState marks the target as cold when its availability zone returns
// to service, so that it ramps up from the cold limit. The caller holds the
// lock.
func (s *Sidecar) updateZoneState(snap *configstore.Snapshot) {
	out := !snap.MayStart(s.opts.Target)
	if s.zoneWasOut && !out {
		s.gate.TurnCold(time.Now())
	}
	s.zoneWasOut = out
}

// versionBad reports whether the target's version is known to be bad.
func (s *Sidecar) versionBad(snap *configstore.Snapshot) bool {
	if s.opts.Verdicts == nil {
		return false
	}
	t := snap.Doc.GetTargets()[s.opts.Target]
	return versions.Bad(snap, s.opts.Verdicts, t.GetService(), t.GetVersion())
}

// wakeDispatcher wakes the dispatcher without blocking.
func (s *Sidecar) wakeDispatcher() {
	select {
	case s.wake <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// sweep periodically removes expired jobs and reservations until the context
// ends.
func (s *Sidecar) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.dropExpired(time.Now())
		}
	}
}

// dropExpired removes expired reservations and ended jobs past their retention,
// and updates the service rate and the credit.
func (s *Sidecar) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservations.expire(now)
	s.updateServiceRate(now)
	s.setCredit()
	for _, j := range s.jobs {
		if j.state == ended && now.Sub(j.endedAt) > responseRetention {
			s.dropJob(j)
		}
	}
	s.wakeDispatcher()
}

// dropJob removes an ended job and its response. The caller holds the lock.
func (s *Sidecar) dropJob(j *job) {
	delete(s.jobs, j.id)
	j.response.drop()
}

// Status returns the current state of the sidecar.
func (s *Sidecar) Status() *zinniaquayv1.StatusResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &zinniaquayv1.StatusResponse{
		ConfigurationNumber: s.opts.Store.Number(),
		Waiting:             uint64(s.reservations.len()),
		Running:             uint64(s.gate.Running()),
		Window:              uint64(s.gate.Window()),
		Cold:                s.gate.Cold(time.Now()),
		Totals:              s.totals(),
	}
}
