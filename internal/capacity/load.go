package capacity

import "time"

const (
	// firstTokenSmoothing is the share of the newest sample in the usual time to
	// first token.
	firstTokenSmoothing = 1.0 / 16
	// firstTokenSamples is the number of samples before jumps are judged.
	firstTokenSamples = 8
	// keptEvents is the most starts and ends that are kept for a load report.
	keptEvents = 1024
)

// load is the target's own report of its load, carried on to now.
type load struct {
	made    time.Time
	running int
	events  []event
}

// event is a start (+1) or an end (-1) of a request.
type event struct {
	at     time.Time
	change int
}

// note takes in a start or an end. Only what is newer than the report counts.
func (l *load) note(at time.Time, change int) {
	l.events = append(l.events, event{at, change})
	if len(l.events) > keptEvents {
		l.events = append(l.events[:0], l.events[keptEvents/2:]...)
	}
}

// report takes in a report, unless a newer one is known.
func (l *load) report(made time.Time, running int) {
	if made.Before(l.made) {
		return
	}
	l.made, l.running = made, running
	l.forget(made)
}

// forget drops the events up to a time.
func (l *load) forget(at time.Time) {
	kept := 0
	for kept < len(l.events) && !l.events[kept].at.After(at) {
		kept++
	}
	l.events = append(l.events[:0], l.events[kept:]...)
}

// estimate returns what the target runs now: more than the gate's own count
// where it still runs what an earlier incarnation of the sidecar started. It is
// 0 without a report.
func (l *load) estimate() int {
	if l.made.IsZero() {
		return 0
	}
	running := l.running
	for _, e := range l.events {
		running += e.change
	}
	return running
}

// firstToken is the usual time to first token.
type firstToken struct {
	mean    float64 // seconds
	samples int
}

// add takes in one sample.
func (f *firstToken) add(took time.Duration) {
	f.samples++
	if f.samples == 1 {
		f.mean = took.Seconds()
		return
	}
	f.mean += (took.Seconds() - f.mean) * firstTokenSmoothing
}

// jump returns how many times the usual time a sample is; 1 where too little is
// known or the sample is small.
func (f *firstToken) jump(took time.Duration) float64 {
	if f.samples < firstTokenSamples || took < leastJump || f.mean <= 0 {
		return 1
	}
	return took.Seconds() / f.mean
}
