package move

import (
	"math"
	"time"
)

// Figures of the test.
const (
	// alarmThreshold is the log likelihood ratio at which the test speaks. By
	// Lorden's bound the mean number of answers to a false alarm is at least
	// e^alarmThreshold for independent answers.
	alarmThreshold = 20.0
	// historyFactor raises the threshold where the old version gave no recent
	// answers, so that the comparison is with the past.
	historyFactor = 2.0
	// leastRate keeps rare events of the old version from making a single event
	// of the new one decisive.
	leastRate = 0.02
	// badMargin is by how much the rate of a bad version is higher at least.
	badMargin = 0.2
	// badFactor is by what factor the rate of a bad version is higher at least.
	badFactor = 3.0
	// mostBadRate bounds the rate of a bad version away from certainty.
	mostBadRate = 0.9
	// doubt is the part of the threshold that holds back a raise.
	doubt = 0.25
	// failureGain and slownessGain bound, as parts of the threshold, what one
	// target adds in one slice of time: a short episode at one host is no fault
	// of a version. Hosts are slow for some seconds more often than they fail.
	failureGain  = 1.0 / 5
	slownessGain = 1.0 / 10
	// sliceLength is the length of a slice of time.
	sliceLength = time.Second
)

// cusum is a one-sided cumulative sum test (Page 1954, "Continuous Inspection
// Schemes") on a stream of events and non-events: it rises while events are
// likelier under the bad rate than under the old one, and never drops below 0,
// so that long good service does not hide a fault that shows late.
type cusum struct {
	sum    float64
	slices map[string]gainSlice
}

// gainSlice is what one target added in one slice of time.
type gainSlice struct {
	start time.Time
	gain  float64
}

// add enters a target's events and other answers against the old version's rate.
// MostGain bounds what the target adds in one slice, as a part of the threshold.
func (c *cusum) add(target string, events, others uint64, oldRate, mostGain float64, now time.Time) {
	p0 := math.Min(math.Max(oldRate, leastRate), mostBadRate-0.05)
	p1 := math.Min(math.Max(badFactor*p0, p0+badMargin), mostBadRate)
	gain := float64(events)*math.Log(p1/p0) + float64(others)*math.Log((1-p1)/(1-p0))
	c.sum = math.Max(0, c.sum+c.capped(target, gain, mostGain*alarmThreshold, now))
}

// capped bounds a target's gain in the present slice.
func (c *cusum) capped(target string, gain, most float64, now time.Time) float64 {
	if gain <= 0 {
		return gain
	}
	if c.slices == nil {
		c.slices = make(map[string]gainSlice)
	}
	s := c.slices[target]
	if now.Sub(s.start) >= sliceLength {
		s = gainSlice{start: now}
	}
	gain = math.Min(gain, most-s.gain)
	s.gain += gain
	c.slices[target] = s
	return gain
}

// alarmed reports whether the sum is over the threshold times a factor.
func (c *cusum) alarmed(factor float64) bool { return c.sum >= factor*alarmThreshold }

// suspicious reports whether the sum is high enough to hold back a raise.
func (c *cusum) suspicious() bool { return c.sum >= doubt*alarmThreshold }
