package metering

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

const (
	// settleTime is the time after the end of a window in which its last counts arrive.
	settleTime = 300 * time.Millisecond
	// waitFraction is the fraction of the delay that reports may have for which a report
	// waits for processes that have not told their counts. The rest is for the calls, and
	// for a successor if the holder fails.
	waitFraction = 0.45
)

// stepKind is what the holder does next about reports.
type stepKind int

const (
	// stepWait means that nothing is to be done.
	stepWait stepKind = iota
	// stepBegin means that earlier windows are settled without a report: the store has no
	// record, or one from before a restore, after which another process may have reported
	// windows that ended before.
	stepBegin
	// stepSettle means that the counts of a window are recorded in the store.
	stepSettle
	// stepSend means that the recorded counts are sent to the platform.
	stepSend
)

// step is what the holder does next, and for which window. skipped is the number of windows
// before it that can't be reported in time any more.
type step struct {
	kind    stepKind
	window  int64
	skipped int64
}

// planState is what the next step depends on.
type planState struct {
	claim *catalog.UsageClaim
	era   int64
	now   time.Time
	// accepted is the latest window that the platform has accepted from this process.
	accepted int64
	// missing returns the processes that have not told all their counts of a window.
	missing func(window int64) []string
}

// plan returns the next step. delay is the time after the end of a window within which its
// report is due.
func (w windows) plan(s planState, delay time.Duration) step {
	if s.claim == nil || s.claim.Era != s.era {
		return step{kind: stepBegin, window: w.at(s.now) - 1}
	}
	// The platform ignores an exact repeat, so that a successor sends what its predecessor may
	// have sent.
	if s.claim.Counts != nil && s.accepted < s.claim.Window && s.now.Before(w.end(s.claim.Window).Add(delay)) {
		return step{kind: stepSend, window: s.claim.Window}
	}
	next := step{kind: stepWait, window: s.claim.Window + 1}
	for !s.now.Before(w.end(next.window).Add(delay)) {
		next.window++
		next.skipped++
	}
	ended := s.now.Sub(w.end(next.window))
	if ended < settleTime || ended < time.Duration(waitFraction*float64(delay)) && len(s.missing(next.window)) > 0 {
		return next
	}
	next.kind = stepSettle
	return next
}
