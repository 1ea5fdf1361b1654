package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// scheduler shares one dispatcher between requests and tells each what was
// decided. It is safe for concurrent use.
type scheduler struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    map[uint64]chan dispatch.Decision
	// wake tells run that requests wait.
	wake chan struct{}
}

// decideEvery is the pause between two decisions on all that wait. One costs the
// more, the more requests wait, and engines have work for longer than that.
const decideEvery = 10 * time.Millisecond

func newScheduler(limits dispatch.Config) *scheduler {
	return &scheduler{dispatcher: dispatch.New(limits), waiting: make(map[uint64]chan dispatch.Decision),
		wake: make(chan struct{}, 1)}
}

func (s *scheduler) setView(view *catalog.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetView(view)
}

// decide passes decisions on. The caller holds the lock.
func (s *scheduler) decide(now time.Time) {
	for _, decision := range s.dispatcher.Decide(now) {
		sequence := decision.Request.Sequence
		s.waiting[sequence] <- decision // holds one, and gets one
		delete(s.waiting, sequence)
	}
}

// wait enters a request and waits for the decision on it. It reports false if
// the context ended first; then the request does not wait any more.
func (s *scheduler) wait(ctx context.Context, r *dispatch.Request) (dispatch.Decision, bool) {
	decided := make(chan dispatch.Decision, 1)
	now := time.Now()
	s.mu.Lock()
	r.Sequence = s.dispatcher.NextSequence()
	if !s.dispatcher.Enqueue(r, now) {
		s.mu.Unlock()
		return dispatch.Decision{Request: r, Action: dispatch.RefuseFull}, true
	}
	s.waiting[r.Sequence] = decided
	if s.dispatcher.Queued() == 1 {
		s.decide(now)
	}
	if s.dispatcher.Queued() > 0 {
		s.ring()
	}
	s.mu.Unlock()
	select {
	case decision := <-decided:
		return decision, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher.Withdraw(r.Sequence) {
		delete(s.waiting, r.Sequence)
		return dispatch.Decision{}, false
	}
	decision := <-decided
	if decision.Action == dispatch.Send {
		s.dispatcher.End(r.Sequence, dispatch.Abandoned, time.Now())
	}
	return dispatch.Decision{}, false
}

// began notes that the answer of a request has begun.
func (s *scheduler) began(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ResponseStarted(sequence, time.Now())
}

// end notes how a request ended at its target.
func (s *scheduler) end(sequence uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.End(sequence, o, time.Now())
}

// ring wakes run.
func (s *scheduler) ring() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run decides again and again while requests wait, until the context ends.
func (s *scheduler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for {
			took, more := s.again()
			if !more || !wait.For(ctx, max(decideEvery, restFactor*took)) {
				break
			}
		}
	}
}

// restFactor is how many times as long as a decision took the pause after it is
// at least, so that decisions never take most of a small host's processor.
const restFactor = 8

// again decides on all that wait. It returns how long that took and whether some
// wait on.
func (s *scheduler) again() (took time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := time.Now()
	s.decide(started)
	return time.Since(started), s.dispatcher.Queued() > 0
}

// forget drops peers that fell silent.
func (s *scheduler) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ExpirePeers(time.Now())
}

// report returns what peers are told.
func (s *scheduler) report(slow bool) dispatch.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Report(slow, time.Now())
}

// merge takes over a peer's report.
func (s *scheduler) merge(name string, r dispatch.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Merge(name, r, time.Now())
}
