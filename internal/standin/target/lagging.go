package target

import "time"

// maxSamples bounds the memory of a lagging figure.
const maxSamples = 4096

// lagging remembers the recent course of a figure, so that an old value can be
// reported.
type lagging struct {
	samples []sample
	// before is the value ahead of the first sample.
	before int
}

type sample struct {
	at    time.Time
	value int
}

func (l *lagging) record(at time.Time, value int) {
	if len(l.samples) == maxSamples {
		l.before = l.samples[maxSamples/2-1].value
		l.samples = l.samples[:copy(l.samples, l.samples[maxSamples/2:])]
	}
	l.samples = append(l.samples, sample{at, value})
}

// at returns the value that held at a time.
func (l *lagging) at(at time.Time) int {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if !l.samples[i].at.After(at) {
			return l.samples[i].value
		}
	}
	return l.before
}
