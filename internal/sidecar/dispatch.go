package sidecar

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
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
	if !s.mayStart() || s.waiting.len() == 0 || s.gate.Room(now) <= 0 {
		return false
	}
	res := s.waiting.pop(s.counters.Pick(s.waiting.accounts()))
	if _, known := s.jobs[res.GetRequestId()]; known {
		return true
	}
	j := &job{id: res.GetRequestId(), account: res.GetAccount(), claimedAt: now, answer: newBuffer()}
	s.jobs[j.id] = j
	s.gate.Start(now)
	s.runs.Go(func() { s.claim(ctx, j, res) })
	return true
}

// claim asks the router for a request and runs it if it is handed out.
func (s *Sidecar) claim(ctx context.Context, j *job, res *zinniaquayv1.Reservation) {
	answer, err := s.opts.Pool.Get(res.GetRouterAddr()).Router.Claim(ctx, &zinniaquayv1.ClaimRequest{
		RequestId:   res.GetRequestId(),
		Target:      s.opts.Target,
		Incarnation: s.opts.Incarnation,
	})
	if next := answer.GetNext(); next != nil {
		s.keep(next)
	}
	if err != nil || !answer.GetGranted() {
		s.abandon(j, "claim was not granted")
		return
	}
	run, ok := s.begin(j, answer.GetRequest())
	if !ok {
		s.abandon(j, "claim was granted too late")
		return
	}
	s.run(run, j, answer.GetRequest())
}

// keep takes a reservation that came with the answer to a claim.
func (s *Sidecar) keep(res *zinniaquayv1.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.jobs[res.GetRequestId()]; !known {
		s.waiting.add(res)
	}
}

// begin moves a job from claiming to started, after which it counts as run. It
// reports false if the job must not start: a tombstone came first, the claim is
// too old, or the target may start nothing any more.
func (s *Sidecar) begin(j *job, work *zinniaquayv1.WorkRequest) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.state != claiming || time.Since(j.claimedAt) > rpc.CallTimeout || !s.mayStart() {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(work.GetTimeoutMs())*time.Millisecond)
	j.state = started
	j.stop = cancel
	return ctx, true
}

// abandon ends a job that never started and gives its room back.
func (s *Sidecar) abandon(j *job, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.bar(time.Now(), why)
	s.gate.Finish(time.Now(), capacity.NeverStarted)
	s.poke()
}
