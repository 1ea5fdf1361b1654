package router

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

// maxReserveCalls limits the concurrent Reserve calls.
const maxReserveCalls = 64

// placer places reservations with sidecars. The longer a queue waits, the more
// of its eligible targets receive reservations.
type placer struct {
	router *Router
	wake   chan struct{}
	// placements is guarded by Router.mu.
	placements *placements
}

// reserveBatch holds the reservations of one Reserve call.
type reserveBatch struct {
	target, addr string
	reservations []*zinniaquayv1.Reservation
	// keys holds the queue of each reservation, by index.
	keys []queueKey
}

func newPlacer(r *Router) *placer {
	return &placer{router: r, wake: make(chan struct{}, 1), placements: newPlacements()}
}

// trigger starts the next round of placements without waiting for the timer.
func (p *placer) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
		// A wake-up is pending already.
	}
}

// run places reservations until the context ends.
func (p *placer) run(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxReserveCalls)
	defer calls.Wait()
	timer := time.NewTimer(fanOutInterval)
	defer timer.Stop()
	for {
		if p.placeDue(ctx, calls, time.Now()) {
			timer.Reset(fanOutInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// placeDue sends the reservations that are due and reports whether any request
// waits.
func (p *placer) placeDue(ctx context.Context, calls *pool.Pool, now time.Time) bool {
	batches, waiting := p.dueBatches(now)
	for _, batch := range batches {
		calls.Go(func() { p.send(ctx, batch) })
	}
	return waiting
}

// send places reservations with one sidecar. Reservations that the sidecar
// does not accept are due again after rejectedRetryDelay.
func (p *placer) send(ctx context.Context, batch *reserveBatch) {
	res, err := p.router.opts.Pool.Get(batch.addr).Sidecar.Reserve(ctx, &zinniaquayv1.ReserveRequest{Reservations: batch.reservations})
	accepted := int(res.GetAccepted())
	if err != nil {
		p.router.opts.Log.V(1).Info("reservations not placed", "addr", batch.addr, "err", err.Error())
		accepted = 0
	}
	if accepted >= len(batch.keys) {
		return
	}
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	for _, k := range batch.keys[accepted:] {
		p.placements.markNotPlaced(k, batch.target, time.Now().Add(rejectedRetryDelay))
	}
}

// dueBatches returns the reservations that are due, by target, and whether any
// request waits.
func (p *placer) dueBatches(now time.Time) (map[string]*reserveBatch, bool) {
	r := p.router
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.opts.Store.Current()
	if snap == nil || r.queues.len() == 0 {
		return nil, false
	}
	p.placements.prune(r.queues, snap.Number)
	batches := make(map[string]*reserveBatch)
	for k := range r.queues.byKey {
		for _, target := range p.placements.get(k).nextTargets(func() []string { return r.eligibleTargets(snap, k, now) }, now) {
			p.addToBatch(batches, snap, k, target, now)
		}
	}
	return batches, true
}

// addToBatch adds reservations of a queue to a target's batch. The caller must
// hold Router.mu.
func (p *placer) addToBatch(batches map[string]*reserveBatch, snap *configstore.Snapshot, k queueKey, target string, now time.Time) {
	batch, ok := batches[target]
	if !ok {
		batch = &reserveBatch{target: target, addr: snap.Doc.GetTargets()[target].GetSidecarAddr()}
		batches[target] = batch
	}
	for _, res := range p.reserve(k, target, 0, now) {
		batch.keys = append(batch.keys, k)
		batch.reservations = append(batch.reservations, res)
	}
}

// reserve returns reservations of requests at the head of a queue for a target
// that already holds the given number of them. It returns none if the queue is
// empty. The caller must hold Router.mu.
func (p *placer) reserve(k queueKey, target string, held int, now time.Time) []*zinniaquayv1.Reservation {
	heads := p.router.queues.heads(k, reservableRequests, now)
	if len(heads) == 0 {
		delete(p.placements.byQueue, k)
		return nil
	}
	p.placements.markPlaced(k, target, now)
	var reservations []*zinniaquayv1.Reservation
	// Return at least one. A claim that the target still counts as held may have
	// been answered already without a further reservation, and then no target
	// would hold a reservation of the queue.
	for range max(1, min(reservationsPerTarget, len(heads))-held) {
		req := heads[nextToReserve(heads)]
		req.reserved++
		reservations = append(reservations, req.reservation(p.router.opts.Addr))
	}
	return reservations
}
