// Package router is the process between callers and sidecars: it authenticates
// callers, keeps a queue for each client account, places reservations with
// sidecars, hands each request out to one claim, and relays the answer.
package router

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

const (
	// defaultMaxWaiting bounds the waiting requests of one client account.
	defaultMaxWaiting = 256
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
}

// Router is the process between callers and sidecars.
type Router struct {
	opts   Options
	placer *placer

	mu       sync.Mutex
	queues   *queues
	running  int
	draining bool
}

// New returns a router that places nothing until Run.
func New(o Options) *Router {
	r := &Router{opts: o, queues: newQueues()}
	r.placer = newPlacer(r)
	return r
}

// Run does the router's duties until the context ends.
func (r *Router) Run(ctx context.Context) {
	var duties conc.WaitGroup
	duties.Go(func() { r.placer.run(ctx) })
	duties.Wait()
}

// Drain refuses new requests and waits until none is left or the context ends.
func (r *Router) Drain(ctx context.Context) error {
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
	return nil
}

// left returns how many requests wait or run.
func (r *Router) left() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queues.len() + r.running
}

// Ready reports whether the router takes requests: it has a configuration and
// is not shutting down.
func (r *Router) Ready() error {
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

// enqueue appends a request to its account's queue.
func (r *Router) enqueue(req *request, snap *configstore.Snapshot) error {
	most := int(snap.Doc.GetAccounts()[req.account].GetMaxWaiting())
	if most == 0 {
		most = defaultMaxWaiting
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return errkind.New(errkind.Draining, "this router is shutting down")
	}
	if r.queues.waitingOf(req.account) >= most {
		return errkind.New(errkind.QueueFull, "%d requests of the account wait already", most)
	}
	r.queues.push(req)
	r.placer.poke()
	return nil
}

// withdraw ends a request that still waits. It reports false if the request was
// handed out, after which only its holder can tell what became of it.
func (r *Router) withdraw(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.state != waiting {
		return false
	}
	r.queues.remove(req)
	req.state = ended
	return true
}

// requeue puts a request back to the head of its queue after a hand-out that
// certainly did not start.
func (r *Router) requeue(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.state = waiting
	req.handouts++
	req.placed = nil
	req.placeAt = time.Time{}
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
	}
}
