package dispatch

import (
	"time"
)

// Outcome says how a request ended at a target.
type Outcome int

const (
	// Answered means that the target answered as it should.
	Answered Outcome = iota
	// Failed means that the target answered with a failure of its own, broke
	// off, or sent garbage.
	Failed
	// NotRun means that the target said that it did not run the request.
	NotRun
	// Unreachable means that no connection could be made, or that it was silent.
	Unreachable
	// Abandoned means that the caller left or the deadline passed; it says
	// nothing of the target.
	Abandoned
)

// health is the evidence on one target: how many of its last answers failed,
// and until when it is left alone after it could not be reached.
type health struct {
	failures  float64
	refusals  float64
	samples   float64
	downUntil time.Time
	downs     int
}

const (
	// healthMemory is the number of answers that the evidence is over.
	healthMemory = 20.0
	// firstDown and longestDown bound how long an unreachable target is left
	// alone; the time doubles with each failure in a row.
	firstDown   = 200 * time.Millisecond
	longestDown = 2 * time.Second
	// leastSamples is the evidence below which a target counts as sound.
	leastSamples = 6.0
)

// note takes in an outcome.
func (h *health) note(o Outcome, now time.Time) {
	if o == Abandoned {
		return
	}
	keep := 1 - 1/healthMemory
	h.failures *= keep
	h.refusals *= keep
	h.samples = h.samples*keep + 1
	switch o {
	case Answered:
		h.downs = 0
	case Failed:
		h.failures++
	case NotRun:
		h.refusals++
	case Unreachable:
		h.failures++
		h.downUntil = now.Add(min(firstDown<<min(h.downs, 8), longestDown))
		h.downs++
	}
}

// badShare returns the part of the latest requests that were not answered.
func (h *health) badShare() float64 {
	if h.samples < leastSamples {
		return 0
	}
	return (h.failures + h.refusals) / h.samples
}

func (h *health) down(now time.Time) bool { return now.Before(h.downUntil) }
