package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// scheduler shares one dispatcher between requests and delivers the decision on
// each. It is safe for concurrent use.
type scheduler struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    map[uint64]chan dispatch.Decision
	// wake signals run that requests are queued, and news signals that there is evidence
	// on crashes that peers don't know.
	wake, news chan struct{}
	// onVerdict is called, with the lock held, when a prompt part is held, quarantined or
	// released.
	onVerdict func(quarantine.Verdict)
	started   time.Time
	// decidedAt is when the latest decision left requests in the queue, in ns since
	// started on the monotonic clock; 0 if it left none.
	decidedAt atomic.Int64
}

// decideInterval is the interval between decisions on all queued requests. The
// cost of a decision grows with the number of queued requests, and engines have
// work for longer than the interval.
const decideInterval = 10 * time.Millisecond

func newScheduler(limits dispatch.Config) *scheduler {
	return &scheduler{dispatcher: dispatch.New(limits), waiting: make(map[uint64]chan dispatch.Decision),
		wake: make(chan struct{}, 1), news: make(chan struct{}, 1), onVerdict: func(quarantine.Verdict) {}, started: time.Now()}
}

func (s *scheduler) setView(view *catalog.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetView(view)
}

// decide delivers decisions. The caller holds the lock.
func (s *scheduler) decide(now time.Time) {
	for _, decision := range s.dispatcher.Decide(now) {
		sequence := decision.Request.Sequence
		s.waiting[sequence] <- decision // never blocks: the buffer holds one decision, and only one is sent
		delete(s.waiting, sequence)
	}
}

// await queues a request and waits for the decision on it. It reports false if
// the context ended first; the request is no longer queued then.
func (s *scheduler) await(ctx context.Context, r *dispatch.Request) (dispatch.Decision, bool) {
	decided, refusal, refused := s.enqueue(r)
	if refused {
		return refusal, true
	}
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
		s.dispatcher.End(r.Sequence, dispatch.NotSent, time.Now())
	}
	return dispatch.Decision{}, false
}

// enqueue queues a request and returns the channel for the decision on it, or its refusal.
func (s *scheduler) enqueue(r *dispatch.Request) (decided chan dispatch.Decision, refusal dispatch.Decision, refused bool) {
	now := time.Now()
	s.mu.Lock()
	// A panic in a decision ends one request and not the scheduler.
	defer s.mu.Unlock()
	r.Sequence = s.dispatcher.NextSequence()
	if refusal, blocked := s.dispatcher.Blocked(r, now); blocked {
		return nil, refusal, true
	}
	if !s.dispatcher.Enqueue(r, now) {
		return nil, dispatch.Decision{Request: r, Action: dispatch.RefuseFull}, true
	}
	decided = make(chan dispatch.Decision, 1)
	s.waiting[r.Sequence] = decided
	if s.dispatcher.Queued() == 1 {
		s.decide(now)
	}
	if s.dispatcher.Queued() > 0 {
		s.wakeRun()
	}
	return decided, dispatch.Decision{}, false
}

// responseStarted records that the response to a request has started.
func (s *scheduler) responseStarted(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ResponseStarted(sequence, time.Now())
	s.publishCrashes()
}

// requestEnded records how a request ended at its target.
func (s *scheduler) requestEnded(sequence uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.End(sequence, o, time.Now())
	s.publishCrashes()
}

// publishCrashes passes on what is new about crashes. The caller holds the lock.
func (s *scheduler) publishCrashes() {
	for _, v := range s.dispatcher.TakeVerdicts() {
		s.onVerdict(v)
	}
	if !s.dispatcher.TakeNews() {
		return
	}
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// blockedSince returns the refusal of a request that was to be sent, because of a part of
// its prompt. It reports false if there is none.
func (s *scheduler) blockedSince(r *dispatch.Request) (dispatch.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.BlockedSince(r)
}

// suspectedOfCrashes reports whether a request must not be repeated, since its prompt
// may be what crashes targets.
func (s *scheduler) suspectedOfCrashes(parts []dispatch.PromptPart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.SuspectedOfCrashes(parts)
}

// crashReport returns the report on crashes for peers.
func (s *scheduler) crashReport() dispatch.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.CrashReport(time.Now())
}

// observeLimit records the request rate that a target names in a response to a request
// that was sent at a time. It reports whether the target began or ended to name one.
func (s *scheduler) observeLimit(target string, head ResponseHead, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ObserveLimit(target, head.MaxPerSecond, head.Limited, sentAt, time.Now())
}

// observeLeaving records that a target said in a response that it is leaving. It reports
// false if that is known already.
func (s *scheduler) observeLeaving(p targetProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ObserveLeaving(p.id, p.addr, p.startedUnixMilli, time.Now())
}

// closeTarget records that a target wants no requests for a time. It reports whether it
// was open before.
func (s *scheduler) closeTarget(c dispatch.Closing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.CloseTarget(c, time.Now())
}

// closedFor returns the time until a target wants requests again; 0 if it does now.
func (s *scheduler) closedFor(target string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ClosedFor(target, time.Now())
}

// takeReopened returns the targets that were closed and are open again.
func (s *scheduler) takeReopened() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.TakeReopened(time.Now())
}

// retryAfterTurnedAway returns when the caller of a request that a target turned away may
// retry.
func (s *scheduler) retryAfterTurnedAway(r *dispatch.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.RetryAfterTurnedAway(r.Service, r.Versions, time.Now())
}

// mayHaveCrashed reports whether a target that ended a connection may have crashed.
func (s *scheduler) mayHaveCrashed(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.MayHaveCrashed(target, time.Now())
}

// targetCrashed records that a target crashed. It reports false if that is known
// already.
func (s *scheduler) targetCrashed(target string) (quarantine.Crash, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash, recorded := s.dispatcher.TargetCrashed(target, time.Now())
	s.publishCrashes()
	return crash, recorded
}

// wakeRun wakes run without blocking.
func (s *scheduler) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run repeats decisions while requests are queued, until the context ends.
func (s *scheduler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for {
			took, more := s.decideQueued()
			if !more || !wait.For(ctx, max(decideInterval, minPauseFactor*took)) {
				break
			}
		}
	}
}

// minPauseFactor is the minimum ratio of the pause after a decision to the
// duration of the decision, so that decisions never take most of a small host's
// processor time.
const minPauseFactor = 8

// decideQueued decides on all queued requests. It returns how long that took
// and whether some are still queued.
func (s *scheduler) decideQueued() (took time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := time.Now()
	s.decide(started)
	ended := time.Now()
	if s.dispatcher.Queued() == 0 {
		s.decidedAt.Store(0)
		return ended.Sub(started), false
	}
	s.decidedAt.Store(max(1, int64(ended.Sub(s.started))))
	return ended.Sub(started), true
}

// decisionLag returns by how much the next decision on queued requests is late.
func (s *scheduler) decisionLag() time.Duration {
	decided := s.decidedAt.Load()
	if decided == 0 {
		return 0
	}
	return max(0, time.Since(s.started)-time.Duration(decided)-decideInterval)
}

// expire drops silent peers, old evidence, and notices of targets that are gone.
func (s *scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.ExpirePeers(now)
	s.dispatcher.ExpireLeaving(now)
	s.dispatcher.ReviewCrashes(now)
	s.publishCrashes()
}

// recordUnread counts tokens that an account requested in requests that were not read.
func (s *scheduler) recordUnread(account string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordUnread(account, tokens, time.Now())
}

// underserved returns the accounts that received much less than they requested.
func (s *scheduler) underserved(limit int) []dispatch.AccountStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Underserved(limit, time.Now())
}

// report returns the report for peers.
func (s *scheduler) report(slow bool) dispatch.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Report(slow, time.Now())
}

// usageReport returns the report on usage at this gateway for peers of its availability zone.
func (s *scheduler) usageReport() dispatch.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.UsageReport(time.Now())
}

// zoneUsageReport returns the report on usage in this gateway's availability zone for peers
// of others. It reports false if too little is known of it.
func (s *scheduler) zoneUsageReport() (dispatch.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ZoneUsageReport(time.Now())
}

// mergeZoneUsage applies a report on usage in another availability zone.
func (s *scheduler) mergeZoneUsage(zone uint32, r dispatch.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.MergeZoneUsage(zone, r, time.Now())
}

// merge applies a peer's report.
func (s *scheduler) merge(name string, r dispatch.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Merge(name, r, time.Now())
	s.publishCrashes()
}
