package sidecar

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

const (
	// ClaimTimeout is how long a router may take to respond to a claim.
	ClaimTimeout = 300 * time.Millisecond
	// probeMaxAge is how long a probe of the target that ran alongside a claim
	// stays valid. After a slower claim the target is probed again.
	probeMaxAge = 10 * time.Millisecond
)

// dispatch claims waiting requests while the target has capacity, until the
// context ends.
func (s *Sidecar) dispatch(ctx context.Context) {
	for {
		changed := s.opts.Store.Changed()
		for s.claimNext(ctx) {
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-changed:
		}
	}
}

// claimNext starts the claim of the next reservation in fair-share order. It
// reports false if the target has no capacity or no request is waiting.
func (s *Sidecar) claimNext(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.applyConfig()
	if !s.mayStart() || s.gate.Room(now) <= 0 {
		return false
	}
	res, ok := s.reservations.next()
	if !ok {
		return false
	}
	if s.hasJob(res.GetRequestId()) {
		return true
	}
	j := &job{id: res.GetRequestId(), account: res.GetAccount(), claimedAt: now, response: newBuffer(s.budget)}
	j.accounting.charge = s.counters.Start(j.account, res.GetCostHint())
	s.jobs[j.id] = j
	s.gate.Start(now)
	req := &zinniaquayv1.ClaimRequest{
		RequestId:   j.id,
		Target:      s.opts.Target,
		Incarnation: s.opts.Incarnation,
		Account:     j.account,
		Held:        uint32(s.reservations.beginClaim(res.Reservation)),
	}
	lastNumber := s.reservations.lastNumber()
	s.claims.Go(func() { s.claim(ctx, j, res.Reservation, req, lastNumber) })
	return true
}

// hasJob reports whether a request is being claimed, is running or has run
// here. A request whose claim failed may be claimed again: if the router had
// granted the failed claim, the request no longer waits under the same ID, and
// the second claim is not granted. The caller holds the lock.
func (s *Sidecar) hasJob(id string) bool {
	j, ok := s.jobs[id]
	return ok && (j.state != ended || j.hasStarted())
}

// claim claims a request from its router and runs it if the claim is granted.
// lastNumber is the number of the newest reservation when the claim began.
func (s *Sidecar) claim(ctx context.Context, j *job, res *zinniaquayv1.Reservation, req *zinniaquayv1.ClaimRequest, lastNumber uint64) {
	claimStart := time.Now()
	probe := s.probeIfAboveColdLimit(ctx)
	resp, err := s.sendClaim(ctx, res.GetRouterAddr(), req)
	s.countClaim(resp.GetGranted(), err)
	s.applyClaimResponse(res, resp, err, lastNumber)
	probe.Wait()
	if err != nil || !resp.GetGranted() {
		s.abandon(j, "claim was not granted")
		if err != nil {
			s.sampleRouter(ctx, res.GetRouterAddr())
		}
		return
	}
	if time.Since(claimStart) > probeMaxAge {
		s.probeIfAboveColdLimit(ctx).Wait()
	}
	runCtx, ok := s.startJob(j, resp.GetRequest())
	if !ok {
		s.abandon(j, "claim was granted too late")
		return
	}
	s.run(runCtx, j, resp.GetRequest())
}

// countClaim counts a claim by its result.
func (s *Sidecar) countClaim(granted bool, err error) {
	result := "gone"
	switch {
	case err != nil:
		result = "lost"
	case granted:
		result = "granted"
	}
	metrics.GetOrRegisterCounter(telemetry.Name("claims_total", "result", result), s.opts.Metrics).Inc(1)
}

// sendClaim sends a claim. A pending claim occupies a slot of the target, so a
// claim on a silent connection times out soon and its connection is reset.
func (s *Sidecar) sendClaim(ctx context.Context, addr string, req *zinniaquayv1.ClaimRequest) (*zinniaquayv1.ClaimResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	peer := s.opts.Pool.Get(addr)
	resp, err := peer.Router.Claim(bounded, req)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		s.opts.Pool.Reset(peer)
	}
	return resp, err
}

// probeIfAboveColdLimit probes the target, concurrently with the claim, if more
// requests are to run than a cold target may run. A target turns cold without
// warning, so a probe from before the claim is not enough.
func (s *Sidecar) probeIfAboveColdLimit(ctx context.Context) *conc.WaitGroup {
	var probe conc.WaitGroup
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate.AboveColdLimit() {
		probe.Go(func() { s.probeTarget(ctx) })
	}
	return &probe
}

// applyClaimResponse adds the reservations in the response to a claim. If the
// router reports that no request of the account is waiting, the reservations of
// the account that it had placed before the claim are dropped. If the claim
// failed, all reservations that the router had placed before it are dropped;
// otherwise each of their claims would occupy a slot of the target in vain.
func (s *Sidecar) applyClaimResponse(claimed *zinniaquayv1.Reservation, resp *zinniaquayv1.ClaimResponse, err error, lastNumber uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservations.endClaim(claimed)
	if err != nil {
		s.reservations.dropRouter(claimed.GetRouterAddr(), lastNumber)
		return
	}
	if !resp.GetWaiting() {
		s.reservations.drop(claimed.GetAccount(), claimed.GetRouterAddr(), lastNumber)
	}
	for _, res := range resp.GetNext() {
		s.addReservation(res)
	}
	s.wakeDispatcher()
}

// addReservation adds a reservation that a router returned. The caller holds
// the lock.
func (s *Sidecar) addReservation(res *zinniaquayv1.Reservation) {
	if !s.hasJob(res.GetRequestId()) {
		s.reservations.add(time.Now(), res)
		// There may be capacity now, and the next event that wakes the
		// dispatcher may be as far away as the end of a response.
		s.wakeDispatcher()
	}
}

// startJob moves a job from claiming to started, after which it counts as run.
// It reports false if the job must not start: it was tombstoned, the claim is
// too old, or the target may no longer start work.
func (s *Sidecar) startJob(j *job, work *zinniaquayv1.WorkRequest) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.granted = true
	if j.state != claiming || time.Since(j.claimedAt) > rpc.CallTimeout || !s.mayStart() || s.gate.OverLimit(time.Now()) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(work.GetTimeoutMs())*time.Millisecond)
	j.state = started
	j.cancel = cancel
	j.accounting.startedAt = time.Now()
	s.record(timeline.RequestStarted, j.id, "at "+s.opts.Target)
	return ctx, true
}

// abandon ends a job that never started and frees its slot.
func (s *Sidecar) abandon(j *job, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.endUnstarted(time.Now(), reason)
	j.accounting.charge.Settle()
	s.gate.Finish(time.Now(), capacity.NeverStarted)
	s.wakeDispatcher()
}
