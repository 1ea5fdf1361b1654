package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

const (
	// headWindow is how many requests at the head of a queue hold reservations.
	headWindow = 4
	// placeWidth is how many sidecars hear of a request at first.
	placeWidth = 2
	// placeAgain is when a request that nobody claimed is placed more widely.
	placeAgain = 20 * time.Millisecond
	// placeAfresh is when a request that every sidecar knows is placed anew.
	placeAfresh = 200 * time.Millisecond
	// placeSenders bounds the calls under way that place reservations.
	placeSenders = 64
)

// placer places reservations with sidecars.
type placer struct {
	router *Router
	wake   chan struct{}
}

// newPlacer returns the placer of a router.
func newPlacer(r *Router) *placer {
	return &placer{router: r, wake: make(chan struct{}, 1)}
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
	timer := time.NewTimer(placeAgain)
	defer timer.Stop()
	for {
		if p.placeDue(ctx, senders, time.Now()) {
			timer.Reset(placeAgain)
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
	batches, left := p.due(now)
	for addr, reservations := range batches {
		senders.Go(func() { p.send(ctx, addr, reservations) })
	}
	return left
}

// send places reservations with one sidecar. A failure needs no answer: the
// requests are placed more widely soon.
func (p *placer) send(ctx context.Context, addr string, reservations []*zinniaquayv1.Reservation) {
	_, err := p.router.opts.Pool.Get(addr).Sidecar.Reserve(ctx, &zinniaquayv1.ReserveRequest{Reservations: reservations})
	if err != nil {
		p.router.opts.Log.V(1).Info("reservations not placed", "addr", addr, "err", err.Error())
	}
}

// due returns the reservations to place now, by sidecar address, and whether
// any request waits.
func (p *placer) due(now time.Time) (map[string][]*zinniaquayv1.Reservation, bool) {
	r := p.router
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.opts.Store.Current()
	if snap == nil || r.queues.len() == 0 {
		return nil, false
	}
	batches := make(map[string][]*zinniaquayv1.Reservation)
	for k := range r.queues.byKey {
		for _, req := range r.queues.heads(k, headWindow) {
			if now.Before(req.placeAt) {
				continue
			}
			req.placeAt = now.Add(placeAgain)
			chosen := choose(snap, req)
			if len(chosen) == 0 {
				// Every sidecar has heard; one that restarted has forgotten.
				req.placed = nil
				req.placeAt = now.Add(placeAfresh)
			}
			for _, target := range chosen {
				req.place(target)
				addr := snap.Doc.GetTargets()[target].GetSidecarAddr()
				batches[addr] = append(batches[addr], req.reservation(r.opts.Addr))
			}
		}
	}
	return batches, true
}

// choose returns targets that are to hear of a request: as many as know it
// already, at least placeWidth, at random among the others.
func choose(snap *configstore.Snapshot, req *request) []string {
	var fresh []string
	for _, name := range snap.Targets(req.service, req.version) {
		if _, placed := req.placed[name]; !placed && snap.MayStart(name) {
			fresh = append(fresh, name)
		}
	}
	rand.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	return fresh[:min(len(fresh), max(placeWidth, len(req.placed)))]
}
