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
	// ClaimTimeout is how long a router may take to answer a claim.
	ClaimTimeout = 300 * time.Millisecond
	// askFresh is how long the target's answer from beside a claim counts. After
	// a slower claim it is asked again.
	askFresh = 10 * time.Millisecond
)

// dispatch claims waiting requests while the target has room, until the context
// ends.
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

// claimNext starts the claim of the reservation that is due. It reports false
// if there is no room or nothing waits.
func (s *Sidecar) claimNext(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.configure()
	if !s.mayStart() || s.gate.Room(now) <= 0 {
		return false
	}
	res, ok := s.waiting.next()
	if !ok {
		return false
	}
	if s.has(res.GetRequestId()) {
		return true
	}
	j := &job{id: res.GetRequestId(), account: res.GetAccount(), claimedAt: now, answer: newBuffer(s.budget)}
	j.receipt.charge = s.counters.Start(j.account, res.GetCostHint())
	s.jobs[j.id] = j
	s.gate.Start(now)
	req := &zinniaquayv1.ClaimRequest{
		RequestId:   j.id,
		Target:      s.opts.Target,
		Incarnation: s.opts.Incarnation,
		Account:     j.account,
		Held:        uint32(s.waiting.claims(res.Reservation)),
	}
	newest := s.waiting.last()
	s.runs.Go(func() { s.claim(ctx, j, res.Reservation, req, newest) })
	return true
}

// has reports whether a request is claimed here, runs or has run. One whose
// claim failed may be claimed again: if the router had handed it out, it waits
// no longer under the same identity, and the second claim hears that it is gone.
// The caller holds the lock.
func (s *Sidecar) has(id string) bool {
	j, ok := s.jobs[id]
	return ok && (j.state != ended || j.ran())
}

// claim asks the router for a request and runs it if it is handed out. newest
// is the number of the newest reservation when the claim began.
func (s *Sidecar) claim(ctx context.Context, j *job, res *zinniaquayv1.Reservation, req *zinniaquayv1.ClaimRequest, newest uint64) {
	begun := time.Now()
	asked := s.askAboveCold(ctx)
	answer, err := s.ask(ctx, res.GetRouterAddr(), req)
	s.countClaim(answer.GetGranted(), err)
	s.renew(res, answer, err, newest)
	asked.Wait()
	if err != nil || !answer.GetGranted() {
		s.abandon(j, "claim was not granted")
		if err != nil {
			s.sampleRouter(ctx, res.GetRouterAddr())
		}
		return
	}
	if time.Since(begun) > askFresh {
		s.askAboveCold(ctx).Wait()
	}
	run, ok := s.begin(j, answer.GetRequest())
	if !ok {
		s.abandon(j, "claim was granted too late")
		return
	}
	s.run(run, j, answer.GetRequest())
}

// countClaim counts a claim by what became of it.
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

// ask sends a claim. While it is under way it holds a place of the target, so
// that one whose connection has gone silent is given up soon and the connection
// with it.
func (s *Sidecar) ask(ctx context.Context, addr string, req *zinniaquayv1.ClaimRequest) (*zinniaquayv1.ClaimResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	peer := s.opts.Pool.Get(addr)
	answer, err := peer.Router.Claim(bounded, req)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		s.opts.Pool.Reset(peer)
	}
	return answer, err
}

// askAboveCold asks the target for a sign of life, beside the claim, if more
// requests are to run than a cold target bears. A target turns cold without
// warning, so a sign from before the claim is not enough.
func (s *Sidecar) askAboveCold(ctx context.Context) *conc.WaitGroup {
	var asked conc.WaitGroup
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate.AboveColdLimit() {
		asked.Go(func() { s.askTarget(ctx) })
	}
	return &asked
}

// renew takes the reservations that came with the answer to a claim. If the
// router says that nothing of the account waits, what it had placed up to the
// claim is gone. Without an answer nothing of the router's is claimed any more,
// or each claim would hold a place of the target in vain.
func (s *Sidecar) renew(claimed *zinniaquayv1.Reservation, answer *zinniaquayv1.ClaimResponse, err error, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.claimed(claimed)
	if err != nil {
		s.waiting.dropRouter(claimed.GetRouterAddr(), newest)
		return
	}
	if !answer.GetWaiting() {
		s.waiting.drop(claimed.GetAccount(), claimed.GetRouterAddr(), newest)
	}
	for _, next := range answer.GetNext() {
		s.keep(next)
	}
	s.poke()
}

// keep takes a reservation that a router answered with. The caller holds the
// lock.
func (s *Sidecar) keep(res *zinniaquayv1.Reservation) {
	if !s.has(res.GetRequestId()) {
		s.waiting.add(time.Now(), res)
		// There may be room now; the next event may be a whole answer away.
		s.poke()
	}
}

// begin moves a job from claiming to started, after which it counts as run. It
// reports false if the job must not start: a tombstone came first, the claim is
// too old, or the target may start nothing any more.
func (s *Sidecar) begin(j *job, work *zinniaquayv1.WorkRequest) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.granted = true
	if j.state != claiming || time.Since(j.claimedAt) > rpc.CallTimeout || !s.mayStart() || s.gate.OverLimit(time.Now()) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(work.GetTimeoutMs())*time.Millisecond)
	j.state = started
	j.stop = cancel
	j.receipt.startedAt = time.Now()
	s.record(timeline.RequestStarted, j.id, "at "+s.opts.Target)
	return ctx, true
}

// abandon ends a job that never started and gives its room back.
func (s *Sidecar) abandon(j *job, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.bar(time.Now(), why)
	j.receipt.charge.Settle()
	s.gate.Finish(time.Now(), capacity.NeverStarted)
	s.poke()
}
