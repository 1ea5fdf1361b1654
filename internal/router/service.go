package router

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// Claim implements the RPC. It dispatches a waiting request to the claiming
// sidecar. Each attempt is dispatched at most once. A claim is not granted if
// the request does not wait any more or the target may not start it.
func (r *Router) Claim(_ context.Context, c *zinniaquayv1.ClaimRequest) (*zinniaquayv1.ClaimResponse, error) {
	snap := r.opts.Store.Current()
	if snap == nil || !snap.MayStart(c.GetTarget()) {
		return &zinniaquayv1.ClaimResponse{}, nil
	}
	target := snap.Doc.GetTargets()[c.GetTarget()]
	if r.isBadVersion(snap, target) {
		return &zinniaquayv1.ClaimResponse{}, nil
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	k := queueKey{c.GetAccount(), target.GetService(), target.GetVersion()}
	req := r.queues.find(c.GetRequestId())
	if req == nil || !canServe(target, req) || !now.Before(req.deadline) {
		return r.addReservations(&zinniaquayv1.ClaimResponse{}, k, c, now), nil
	}
	r.queues.remove(req)
	r.claims.record(queueKeyOf(req), now)
	r.running++
	work := req.dispatch(assignment{
		addr:        target.GetSidecarAddr(),
		target:      c.GetTarget(),
		attemptID:   c.GetRequestId(),
		incarnation: c.GetIncarnation(),
	}, now)
	r.opts.Events.Record(timeline.RequestClaimed, req.id, "dispatched to "+c.GetTarget())
	// With these, the next requests of a backlogged account need no further
	// Reserve call.
	return r.addReservations(&zinniaquayv1.ClaimResponse{Granted: true, Request: work}, queueKeyOf(req), c, now), nil
}

// addReservations adds further reservations of a queue to the response to a
// claim. The caller must hold r.mu.
func (r *Router) addReservations(res *zinniaquayv1.ClaimResponse, k queueKey, c *zinniaquayv1.ClaimRequest, now time.Time) *zinniaquayv1.ClaimResponse {
	res.Next = r.placer.reserve(k, c.GetTarget(), int(c.GetHeld()), now)
	res.Waiting = len(r.queues.byKey[k]) > 0
	return res
}

// canServe reports whether a target may serve a request.
func canServe(t *zinniaquayv1.Target, req *request) bool {
	return t.GetService() == req.service && t.GetVersion() == req.version
}

// Sample implements the RPC. It returns reservations of the queues that a
// target may serve.
func (r *Router) Sample(_ context.Context, s *zinniaquayv1.SampleRequest) (*zinniaquayv1.SampleResponse, error) {
	res := &zinniaquayv1.SampleResponse{}
	snap := r.opts.Store.Current()
	if snap == nil || !snap.MayStart(s.GetTarget()) || r.isBadVersion(snap, snap.Doc.GetTargets()[s.GetTarget()]) {
		return res, nil
	}
	res.Reservations = r.sample(snap, s.GetTarget(), int(s.GetLimit()))
	return res, nil
}

// sample returns reservations for a target. It adds no further queue once
// there are limit reservations.
func (r *Router) sample(snap *configstore.Snapshot, name string, limit int) []*zinniaquayv1.Reservation {
	target := snap.Doc.GetTargets()[name]
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	takesShare := r.isShareTarget(snap, target, name)
	var reservations []*zinniaquayv1.Reservation
	for _, queue := range r.queues.byKey {
		if len(reservations) >= limit {
			break
		}
		if canServe(target, queue[0]) && (takesShare || !queue[0].shareTargetsOnly(now)) {
			reservations = append(reservations, r.placer.reserve(queueKeyOf(queue[0]), name, 0, now)...)
		}
	}
	return reservations
}
