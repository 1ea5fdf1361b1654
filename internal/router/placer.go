package router

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

// placeSenders bounds the calls under way that place reservations.
const placeSenders = 64

// placer places reservations with sidecars, so that each waiting queue is known
// to ever more of the targets that may serve it.
type placer struct {
	router *Router
	wake   chan struct{}
	// book belongs to the router's lock.
	book *ticketBook
}

// placement is the reservations for one sidecar.
type placement struct {
	target, addr string
	reservations []*zinniaquayv1.Reservation
	// queues holds the queue of each reservation.
	queues []queueKey
}

// newPlacer returns the placer of a router.
func newPlacer(r *Router) *placer {
	return &placer{router: r, wake: make(chan struct{}, 1), book: newTicketBook()}
}

// poke wakes the placer.
func (p *placer) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
		// It is due to wake already.
	}
}

// run places reservations until the context ends.
func (p *placer) run(ctx context.Context) {
	senders := pool.New().WithMaxGoroutines(placeSenders)
	defer senders.Wait()
	timer := time.NewTimer(widenEvery)
	defer timer.Stop()
	for {
		if p.placeDue(ctx, senders, time.Now()) {
			timer.Reset(widenEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// placeDue places what is due and reports whether any request waits.
func (p *placer) placeDue(ctx context.Context, senders *pool.Pool, now time.Time) bool {
	placements, left := p.due(now)
	for _, pl := range placements {
		senders.Go(func() { p.send(ctx, pl) })
	}
	return left
}

// send places reservations with one sidecar. Those that it does not take are
// due again a little later.
func (p *placer) send(ctx context.Context, pl *placement) {
	res, err := p.router.opts.Pool.Get(pl.addr).Sidecar.Reserve(ctx, &zinniaquayv1.ReserveRequest{Reservations: pl.reservations})
	taken := int(res.GetAccepted())
	if err != nil {
		p.router.opts.Log.V(1).Info("reservations not placed", "addr", pl.addr, "err", err.Error())
		taken = 0
	}
	if taken >= len(pl.queues) {
		return
	}
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	for _, k := range pl.queues[taken:] {
		p.book.forget(k, pl.target, time.Now().Add(retryAfter))
	}
}

// due returns the reservations to place now, by target, and whether any request
// waits.
func (p *placer) due(now time.Time) (map[string]*placement, bool) {
	r := p.router
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.opts.Store.Current()
	if snap == nil || r.queues.len() == 0 {
		return nil, false
	}
	p.book.sweep(r.queues, snap.Number)
	placements := make(map[string]*placement)
	for k := range r.queues.byKey {
		for _, target := range p.book.of(k).widen(func() []string { return r.eligible(snap, k, now) }, now) {
			p.add(placements, snap, k, target, now)
		}
	}
	return placements, true
}

// add adds a reservation of a queue to what a target is to hear. The caller
// holds the router's lock.
func (p *placer) add(placements map[string]*placement, snap *configstore.Snapshot, k queueKey, target string, now time.Time) {
	pl, ok := placements[target]
	if !ok {
		pl = &placement{target: target, addr: snap.Doc.GetTargets()[target].GetSidecarAddr()}
		placements[target] = pl
	}
	for _, res := range p.reserve(k, target, 0, now) {
		pl.queues = append(pl.queues, k)
		pl.reservations = append(pl.reservations, res)
	}
}

// reserve returns reservations of a queue's first requests for a target that
// holds some already, none if the queue is empty. The caller holds the router's
// lock.
func (p *placer) reserve(k queueKey, target string, held int, now time.Time) []*zinniaquayv1.Reservation {
	heads := p.router.queues.heads(k, headWindow, now)
	if len(heads) == 0 {
		delete(p.book.byQueue, k)
		return nil
	}
	p.book.told(k, target, now)
	var named []*zinniaquayv1.Reservation
	// One at least: of what the target holds, a claim may be answered already
	// that nothing waits, and then the queue would be known to nobody.
	for range max(1, min(ticketsEach, len(heads))-held) {
		req := heads[toName(heads)]
		req.reserved++
		named = append(named, req.reservation(p.router.opts.Addr))
	}
	return named
}
