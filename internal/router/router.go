// Package router is the process between callers and sidecars: it authenticates
// callers, keeps a queue for each client account, places reservations with
// sidecars, hands each request out to one claim, and relays the answer.
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
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/retry"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
	"github.com/zinniaquay/zinniaquay/internal/versions"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// defaultMaxWaiting bounds the waiting requests of one client account.
	defaultMaxWaiting = 256
	// defaultMaxWaitingInAll bounds the waiting requests of all accounts.
	defaultMaxWaitingInAll = 4096
	// defaultTimeout is the longest time that a request may take.
	defaultTimeout = 120 * time.Second
	// defaultUnits are charged for a request to a plain service.
	defaultUnits = 100
)

// Options are what a router needs.
type Options struct {
	// Addr (IP:port) is where sidecars reach this router.
	Addr string
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// Store holds the configuration in force.
	Store *configstore.Store
	// Pool reaches the sidecars.
	Pool *rpc.Pool
	// Log takes structured logs.
	Log logr.Logger
	// KV holds idempotency keys. Without it requests that bring one are refused.
	KV platform.KV
	// Events takes the events of the time line; nil for none.
	Events *timeline.Recorder
	// Metrics takes the metrics. Default one of its own.
	Metrics metrics.Registry
	// BalancerLag is how long a router that shuts down, unready already, still
	// takes requests, so that the balancer can leave it out first. Default none.
	BalancerLag time.Duration
	// MaxWaiting bounds the waiting requests of all accounts. Default 4096.
	MaxWaiting int
	// Versions chooses versions while traffic moves. Without it every request
	// goes to its service's declared version.
	Versions *versions.Chooser
	// VerdictsChanged returns a channel that is closed when more is known of a
	// version. Required with Versions.
	VerdictsChanged func() <-chan struct{}
}

// Router is the process between callers and sidecars.
type Router struct {
	opts     Options
	placer   *placer
	releaser *releaser
	// keys is nil without a key-value service.
	keys     *idempotency.Keys
	refusals *refusals

	mu      sync.Mutex
	retries *retry.Budget
	queues  *queues
	claims  claimTimes
	held    *holdings
	running int
	// leaving says that the router is unready, and draining that it takes no
	// requests.
	leaving  bool
	draining bool
}

// New returns a router that places nothing until Run.
func New(o Options) *Router {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaitingInAll
	}
	r := &Router{opts: o, queues: newQueues(), claims: make(claimTimes), held: newHoldings(), retries: retry.NewBudget(time.Now()), refusals: newRefusals(o.Metrics)}
	r.placer = newPlacer(r)
	r.releaser = newReleaser(o)
	if o.KV != nil {
		r.keys = idempotency.New(idempotency.Options{KV: o.KV, Metrics: o.Metrics, Log: o.Log})
	}
	return r
}

// Run does the router's duties until the context ends.
func (r *Router) Run(ctx context.Context) {
	var duties conc.WaitGroup
	duties.Go(func() { r.placer.run(ctx) })
	duties.Go(func() { r.releaser.run(ctx) })
	if r.opts.Versions != nil {
		duties.Go(func() { r.watchVersions(ctx) })
	}
	if r.keys != nil {
		duties.Go(func() { r.keys.Run(ctx) })
	}
	duties.Wait()
}

// Drain turns unready, refuses new requests after the balancer's lag and waits
// until none is left and all idempotency keys are settled, or until the context
// ends.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	wait.For(ctx, r.opts.BalancerLag)
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for r.left() > 0 {
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

// left returns how many requests wait or run.
func (r *Router) left() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queues.len() + r.running
}

// Ready reports whether the balancer should send requests here: the router takes
// them and is not about to leave.
func (r *Router) Ready() error {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		return errkind.New(errkind.Draining, "this router is shutting down")
	}
	return r.takes()
}

// takes reports whether the router takes requests: it has a configuration and
// does not drain.
func (r *Router) takes() error {
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

// enqueue appends a request to its account's queue. Where the router is full, a
// request of the account with the most waiting makes room.
func (r *Router) enqueue(req *request, snap *configstore.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.mayEnqueue(req.account, snap); err != nil {
		return err
	}
	if !r.held.fits(req.account, len(req.work.GetBody())) {
		return errkind.New(errkind.QueueFull, "this router holds too many bytes of requests already")
	}
	if r.queues.len() >= r.opts.MaxWaiting {
		r.evict(r.queues.crowding())
	}
	r.held.take(req.account, len(req.work.GetBody()))
	now := time.Now()
	r.retries.Request(now)
	req.queuedAt = now
	req.version = r.chooseVersion(snap, req)
	r.queues.push(req)
	r.opts.Events.Record(timeline.RequestAccepted, req.id, req.account+" asks for "+req.service)
	r.placer.poke()
	return nil
}

// release gives back what a request that was queued held, when it has ended.
func (r *Router) release(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held.give(req.account, len(req.work.GetBody()))
}

// mayEnqueue returns why a request of an account may not wait here, if it may
// not. The caller holds the lock.
func (r *Router) mayEnqueue(account string, snap *configstore.Snapshot) error {
	most := int(snap.Doc.GetAccounts()[account].GetMaxWaiting())
	if most == 0 {
		most = defaultMaxWaiting
	}
	waiting := r.queues.waitingOf(account)
	switch {
	case r.draining:
		return errkind.New(errkind.Draining, "this router is shutting down")
	case waiting >= most:
		return errkind.New(errkind.QueueFull, "%d requests of the account wait already", most)
	case r.queues.len() >= r.opts.MaxWaiting && waiting+1 >= r.queues.waitingOf(r.queues.crowding().account):
		return errkind.New(errkind.QueueFull, "%d requests wait at this router already", r.opts.MaxWaiting)
	}
	return nil
}

// mayRetry takes a retry of a request that may have run out of the budget.
func (r *Router) mayRetry(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retries.Take(time.Now(), req.retries) {
		return false
	}
	req.retries++
	metrics.GetOrRegisterCounter("request_retries_total", r.opts.Metrics).Inc(1)
	return true
}

// withdraw ends a request that still waits, or was evicted. It reports false if
// the request was handed out, after which only its holder can tell what became
// of it.
func (r *Router) withdraw(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.state == waiting {
		r.leave(req)
	}
	return req.state == ended
}

// evict makes a waiting request leave for another account's.
func (r *Router) evict(req *request) {
	r.leave(req)
	close(req.evicted)
}

// leave ends a request that waits. The caller holds the lock.
func (r *Router) leave(req *request) {
	r.queues.remove(req)
	req.state = ended
	// After a hand-out that may have run, leaving the queue proves nothing.
	req.withdrawn = req.retries == 0
}

// requeue puts a request back to the head of its queue after a hand-out that
// certainly did not start, or that may be repeated.
func (r *Router) requeue(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.state = waiting
	req.handouts++
	req.reserved = 0
	r.fallBack(req)
	r.running--
	r.queues.pushFront(req)
	r.placer.poke()
}

// finish ends a request that was handed out.
func (r *Router) finish(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.state = ended
	r.running--
}

// Status returns what the router knows of itself.
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
