// Package router implements the process between callers and sidecars. It
// authenticates callers, keeps queues for each client account, places
// reservations with sidecars, dispatches each request to the sidecar whose claim
// it grants, and relays the response.
package router

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/idempotency"
	"github.com/zinniaquay/zinniaquay/internal/intake"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/retry"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
	"github.com/zinniaquay/zinniaquay/internal/versions"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// defaultMaxAccountWaiting limits the waiting requests of one client
	// account.
	defaultMaxAccountWaiting = 256
	// defaultMaxTotalWaiting limits the waiting requests of all accounts.
	defaultMaxTotalWaiting = 4096
	// defaultMaxHeldBodyBytes limits the bodies of all requests together.
	defaultMaxHeldBodyBytes = 64 << 20
	// defaultTimeout is the maximum duration of a request if its service sets
	// none.
	defaultTimeout = 120 * time.Second
	// defaultUnits are charged for a request to a plain service.
	defaultUnits = 100
)

// Options configures a Router.
type Options struct {
	// Addr (IP:port) is the address at which sidecars reach this router.
	Addr string
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64
	// MaxHeldBodyBytes limits the bodies of all callers' requests together, from their first
	// byte until their requests end. Default 64 MiB.
	MaxHeldBodyBytes int64
	// Store holds the configuration in force.
	Store *configstore.Store
	// Pool holds the connections to sidecars.
	Pool *rpc.Pool
	Log  logr.Logger
	// KV stores idempotency keys. If nil, requests that must not be repeated are
	// refused if they have an idempotency key.
	KV platform.KV
	// Events records timeline events. Optional.
	Events *timeline.Recorder
	// Metrics registers the metrics. Defaults to a new registry.
	Metrics metrics.Registry
	// BalancerLag is how long a router that shuts down still accepts requests
	// after it reports unready, so that the load balancer can remove it first.
	// Default 0.
	BalancerLag time.Duration
	// MaxWaiting limits the waiting requests of all accounts. Default 4096.
	MaxWaiting int
	// Versions selects the version of each request while traffic moves between
	// versions. If nil, every request goes to its service's declared version.
	Versions *versions.Chooser
	// VerdictsChanged returns a channel that is closed when the verdicts on
	// versions change. Required with Versions.
	VerdictsChanged func() <-chan struct{}
}

// Router is the process between callers and sidecars.
type Router struct {
	opts     Options
	bodies   *intake.Bodies
	placer   *placer
	releaser *releaser
	// keys is nil without a key-value service.
	keys     *idempotency.Keys
	refusals *refusals

	mu       sync.Mutex
	retries  *retry.Budget
	queues   *queues
	claims   lastClaims
	buffered *bufferedBytes
	running  int
	// unready is set once the router reports unready, and draining once it
	// accepts no more requests.
	unready  bool
	draining bool
}

// New returns a router that places no reservations until Run is called.
func New(o Options) *Router {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxTotalWaiting
	}
	if o.MaxHeldBodyBytes <= 0 {
		o.MaxHeldBodyBytes = defaultMaxHeldBodyBytes
	}
	r := &Router{bodies: intake.NewBodies(o.MaxHeldBodyBytes, o.Metrics), opts: o, queues: newQueues(), claims: make(lastClaims), buffered: newBufferedBytes(), retries: retry.NewBudget(time.Now()), refusals: newRefusals(o.Metrics)}
	r.placer = newPlacer(r)
	r.releaser = newReleaser(o)
	if o.KV != nil {
		r.keys = idempotency.New(idempotency.Options{KV: o.KV, Metrics: o.Metrics, Log: o.Log})
	}
	return r
}

// Run runs the router's background tasks until the context ends.
func (r *Router) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { r.placer.run(ctx) })
	tasks.Go(func() { r.releaser.run(ctx) })
	if r.opts.Versions != nil {
		tasks.Go(func() { r.watchVersions(ctx) })
	}
	if r.keys != nil {
		tasks.Go(func() { r.keys.Run(ctx) })
	}
	tasks.Wait()
}

// Drain reports unready, refuses new requests after BalancerLag, and waits
// until no request is pending and all idempotency keys are settled, or until
// the context ends.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.unready = true
	r.mu.Unlock()
	wait.For(ctx, r.opts.BalancerLag)
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for r.pending() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	if r.keys != nil {
		return r.keys.Drain(ctx)
	}
	return nil
}

// pending returns the number of requests that wait or run.
func (r *Router) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queues.len() + r.running
}

// Ready returns an error if the load balancer should not send requests here:
// the router does not accept requests or is about to shut down.
func (r *Router) Ready() error {
	r.mu.Lock()
	unready := r.unready
	r.mu.Unlock()
	if unready {
		return errkind.New(errkind.Draining, "this router is shutting down")
	}
	return r.checkAccepting()
}

// checkAccepting returns an error if the router does not accept requests: it
// has no configuration or is draining.
func (r *Router) checkAccepting() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return errkind.New(errkind.Draining, "this router is shutting down")
	}
	if r.opts.Store.Current() == nil {
		return errkind.New(errkind.NoConfiguration, "this router has no configuration yet")
	}
	return nil
}

// enqueue appends a request to its account's queue. If the router is full, a
// request of the account with the most waiting requests is evicted.
func (r *Router) enqueue(req *request, snap *configstore.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkEnqueueLocked(req.account, snap); err != nil {
		return err
	}
	if !r.buffered.fits(req.account, len(req.work.GetBody())) {
		return errkind.New(errkind.QueueFull, "this router holds too many bytes of requests already")
	}
	if r.queues.len() >= r.opts.MaxWaiting {
		r.evict(r.queues.evictionCandidate())
	}
	r.buffered.add(req.account, len(req.work.GetBody()))
	now := time.Now()
	r.retries.Request(now)
	req.queuedAt = now
	req.version = r.chooseVersion(snap, req)
	r.queues.push(req)
	r.opts.Events.Record(timeline.RequestAccepted, req.id, req.account+" requests "+req.service)
	r.placer.trigger()
	return nil
}

// releaseBody subtracts the body of a request that has ended from the buffered
// bytes.
func (r *Router) releaseBody(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffered.remove(req.account, len(req.work.GetBody()))
}

// checkEnqueueLocked returns an error if a request of an account cannot be
// queued. The caller must hold r.mu.
func (r *Router) checkEnqueueLocked(account string, snap *configstore.Snapshot) error {
	maxWaiting := int(snap.Doc.GetAccounts()[account].GetMaxWaiting())
	if maxWaiting == 0 {
		maxWaiting = defaultMaxAccountWaiting
	}
	waiting := r.queues.waitingOf(account)
	switch {
	case r.draining:
		return errkind.New(errkind.Draining, "this router is shutting down")
	case waiting >= maxWaiting:
		return errkind.New(errkind.QueueFull, "%d requests of the account wait already", maxWaiting)
	case r.queues.len() >= r.opts.MaxWaiting && waiting+1 >= r.queues.waitingOf(r.queues.evictionCandidate().account):
		return errkind.New(errkind.QueueFull, "%d requests wait at this router already", r.opts.MaxWaiting)
	}
	return nil
}

// takeRetry takes a retry of a request that may have run from the retry
// budget, and reports whether the budget allows it.
func (r *Router) takeRetry(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retries.Take(time.Now(), req.retries) {
		return false
	}
	req.retries++
	metrics.GetOrRegisterCounter("request_retries_total", r.opts.Metrics).Inc(1)
	return true
}

// withdraw ends a request that still waits or was evicted. It returns false if
// the request was dispatched. In that case the assigned sidecar determines the
// outcome.
func (r *Router) withdraw(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.state == waiting {
		r.dequeue(req)
	}
	return req.state == ended
}

// evict ends a waiting request in favor of another account's request. The
// caller must hold r.mu.
func (r *Router) evict(req *request) {
	r.dequeue(req)
	close(req.evicted)
}

// dequeue ends a waiting request. The caller must hold r.mu.
func (r *Router) dequeue(req *request) {
	r.queues.remove(req)
	req.state = ended
	// If an earlier attempt may have run, leaving the queue does not prove that
	// the request did not run.
	req.withdrawn = req.retries == 0
}

// requeue inserts a request at the head of its queue after an attempt that
// certainly did not start, or that may be repeated.
func (r *Router) requeue(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.state = waiting
	req.attempt++
	req.reserved = 0
	r.fallBackToOldVersion(req)
	r.running--
	r.queues.pushFront(req)
	r.placer.trigger()
}

// finish ends a request that was dispatched.
func (r *Router) finish(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.state = ended
	r.running--
}

// Status returns the router's status.
func (r *Router) Status() *zinniaquayv1.StatusResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &zinniaquayv1.StatusResponse{
		ConfigurationNumber: r.opts.Store.Number(),
		Waiting:             uint64(r.queues.len()),
		Running:             uint64(r.running),
		Refused:             r.refusals.totals(),
		WaitingByAccount:    r.queues.waitingByAccount(),
	}
}
