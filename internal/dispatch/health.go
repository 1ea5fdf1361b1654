package dispatch

import (
	"time"
)

// Outcome is how a request ended at a target.
type Outcome int

const (
	// Answered means that the target sent a valid response.
	Answered Outcome = iota
	// Failed means that the target reported an internal failure, broke off its
	// response, or sent an invalid one.
	Failed
	// NotRun means that the target reported that it did not run the request.
	NotRun
	// Unreachable means that no connection could be made, or that the target sent
	// nothing.
	Unreachable
	// Abandoned means that the caller left or the deadline passed. It is no
	// evidence on the target's health.
	Abandoned
	// NotSent means that nothing was sent to the target, because the caller left, the
	// deadline passed, the target closed, or the request was no longer allowed. It is no
	// evidence on the target's health either.
	NotSent
)

// health tracks the recent outcomes of requests to one target, and until when
// it gets no requests because it was unreachable.
type health struct {
	failures         float64
	refusals         float64
	samples          float64
	downUntil        time.Time
	consecutiveDowns int
}

const (
	// healthSamples is the number of outcomes over which the decaying counts
	// average.
	healthSamples = 20.0
	// minDownTime and maxDownTime bound how long an unreachable target gets no
	// requests. The time doubles with each further Unreachable until a request is
	// answered.
	minDownTime = 200 * time.Millisecond
	maxDownTime = 2 * time.Second
	// minHealthSamples is the sample count below which a target counts as healthy.
	minHealthSamples = 6.0
)

// record adds an outcome.
func (h *health) record(o Outcome, now time.Time) {
	if o == Abandoned || o == NotSent {
		return
	}
	decay := 1 - 1/healthSamples
	h.failures *= decay
	h.refusals *= decay
	h.samples = h.samples*decay + 1
	switch o {
	case Answered:
		h.consecutiveDowns = 0
	case Failed:
		h.failures++
	case NotRun:
		h.refusals++
	case Unreachable:
		h.failures++
		h.downUntil = now.Add(min(minDownTime<<min(h.consecutiveDowns, 8), maxDownTime))
		h.consecutiveDowns++
	}
}

// failureRatio returns the fraction of recent requests that failed or were not run.
func (h *health) failureRatio() float64 {
	if h.samples < minHealthSamples {
		return 0
	}
	return (h.failures + h.refusals) / h.samples
}

func (h *health) isDown(now time.Time) bool { return now.Before(h.downUntil) }
