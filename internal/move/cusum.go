package move

import (
	"math"
	"time"
)

// Parameters of the test.
const (
	// alarmThreshold is the log likelihood ratio at which the test raises an
	// alarm. By Lorden's bound the mean number of answers to a false alarm is at
	// least e^alarmThreshold for independent answers.
	alarmThreshold = 20.0
	// historyFactor raises the threshold if the old version gave no recent answers
	// and earlier ones are compared.
	historyFactor = 2.0
	// minRate is the lower limit of the old version's rate, so that a single event
	// of the new version is not decisive where events of the old one are rare.
	minRate = 0.02
	// minBadMargin is the minimum difference between a bad version's rate and the
	// old version's rate.
	minBadMargin = 0.2
	// minBadFactor is the minimum ratio of a bad version's rate to the old
	// version's rate.
	minBadFactor = 3.0
	// maxBadRate keeps the rate assumed for a bad version below 1.
	maxBadRate = 0.9
	// suspicionFraction is the fraction of the threshold at which a test prevents
	// the next level.
	suspicionFraction = 0.25
	// maxFailureGain and maxSlownessGain limit, as fractions of the threshold, how
	// much one target adds to the sum in one window: a short episode at one host
	// is no fault of a version. Hosts are slow for some seconds more often than
	// they fail.
	maxFailureGain   = 1.0 / 5
	maxSlownessGain  = 1.0 / 10
	gainWindowLength = time.Second
)

// cusum is a one-sided cumulative sum test (Page 1954, "Continuous Inspection
// Schemes") on a stream of events and non-events. The sum rises while events
// are likelier under the bad rate than under the old one. It never drops below
// 0, so that a long time without faults does not hide a fault that appears
// late.
type cusum struct {
	sum     float64
	windows map[string]gainWindow
}

// gainWindow is how much one target added to the sum since the start of a
// window.
type gainWindow struct {
	start time.Time
	gain  float64
}

// add adds a target's events and other answers, weighted by the old version's
// rate. maxGainFraction limits how much the target adds in one window, as a
// fraction of the threshold.
func (c *cusum) add(target string, events, others uint64, oldRate, maxGainFraction float64, now time.Time) {
	p0 := math.Min(math.Max(oldRate, minRate), maxBadRate-0.05)
	p1 := math.Min(math.Max(minBadFactor*p0, p0+minBadMargin), maxBadRate)
	gain := float64(events)*math.Log(p1/p0) + float64(others)*math.Log((1-p1)/(1-p0))
	c.sum = math.Max(0, c.sum+c.limitGain(target, gain, maxGainFraction*alarmThreshold, now))
}

// limitGain limits a target's gain in the current window to maxGain.
func (c *cusum) limitGain(target string, gain, maxGain float64, now time.Time) float64 {
	if gain <= 0 {
		return gain
	}
	if c.windows == nil {
		c.windows = make(map[string]gainWindow)
	}
	w := c.windows[target]
	if now.Sub(w.start) >= gainWindowLength {
		w = gainWindow{start: now}
	}
	gain = math.Min(gain, maxGain-w.gain)
	w.gain += gain
	c.windows[target] = w
	return gain
}

// alarmed reports whether the sum has reached the threshold times a factor.
func (c *cusum) alarmed(factor float64) bool { return c.sum >= factor*alarmThreshold }

// suspicious reports whether the sum is high enough to prevent the next level.
func (c *cusum) suspicious() bool { return c.sum >= suspicionFraction*alarmThreshold }
