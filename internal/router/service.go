package router

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// Claim implements the RPC: it hands a waiting request out, once. A request
// that does not wait, or that the target may not start, is gone.
func (r *Router) Claim(_ context.Context, c *zinniaquayv1.ClaimRequest) (*zinniaquayv1.ClaimResponse, error) {
	snap := r.opts.Store.Current()
	if snap == nil || !snap.MayStart(c.GetTarget()) {
		return &zinniaquayv1.ClaimResponse{}, nil
	}
	target := snap.Doc.GetTargets()[c.GetTarget()]
	if r.bad(snap, target) {
		return &zinniaquayv1.ClaimResponse{}, nil
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	k := queueKey{c.GetAccount(), target.GetService(), target.GetVersion()}
	req := r.queues.find(c.GetRequestId())
	if req == nil || !serves(target, req) || !now.Before(req.deadline) {
		return r.renew(&zinniaquayv1.ClaimResponse{}, k, c, now), nil
	}
	r.queues.remove(req)
	r.claims.note(key(req), now)
	r.running++
	work := req.handOut(holder{
		addr:        target.GetSidecarAddr(),
		target:      c.GetTarget(),
		handoutID:   c.GetRequestId(),
		incarnation: c.GetIncarnation(),
	}, now)
	r.opts.Events.Record(timeline.RequestClaimed, req.id, "handed to "+c.GetTarget())
	// A backlogged account so needs no round of its own for its next request.
	return r.renew(&zinniaquayv1.ClaimResponse{Granted: true, Request: work}, key(req), c, now), nil
}

// renew adds further reservations of a queue to the answer to a claim. The
// caller holds the lock.
func (r *Router) renew(res *zinniaquayv1.ClaimResponse, k queueKey, c *zinniaquayv1.ClaimRequest, now time.Time) *zinniaquayv1.ClaimResponse {
	res.Next = r.placer.reserve(k, c.GetTarget(), int(c.GetHeld()), now)
	res.Waiting = len(r.queues.byKey[k]) > 0
	return res
}

// serves reports whether a target may serve a request.
func serves(t *zinniaquayv1.Target, req *request) bool {
	return t.GetService() == req.service && t.GetVersion() == req.version
}

// Sample implements the RPC: it lists heads of queues that a target may serve,
// at most one an account.
func (r *Router) Sample(_ context.Context, s *zinniaquayv1.SampleRequest) (*zinniaquayv1.SampleResponse, error) {
	res := &zinniaquayv1.SampleResponse{}
	snap := r.opts.Store.Current()
	if snap == nil || !snap.MayStart(s.GetTarget()) || r.bad(snap, snap.Doc.GetTargets()[s.GetTarget()]) {
		return res, nil
	}
	res.Reservations = r.sample(snap, s.GetTarget(), int(s.GetLimit()))
	return res, nil
}

// sample returns up to limit reservations for a target.
func (r *Router) sample(snap *configstore.Snapshot, name string, limit int) []*zinniaquayv1.Reservation {
	target := snap.Doc.GetTargets()[name]
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	takesShare := r.takesShare(snap, target, name)
	var found []*zinniaquayv1.Reservation
	for _, queue := range r.queues.byKey {
		if len(found) >= limit {
			break
		}
		if serves(target, queue[0]) && (takesShare || !queue[0].fresh(now)) {
			found = append(found, r.placer.reserve(key(queue[0]), name, 0, now)...)
		}
	}
	return found
}
