package capacity

import "time"

const (
	// firstTokenSmoothing is the weight of the newest sample in the mean time to
	// first token.
	firstTokenSmoothing = 1.0 / 16
	// firstTokenSamples is the number of samples before ratios to the mean are
	// used.
	firstTokenSamples = 8
	// maxEvents is the largest number of starts and ends kept since a load report.
	maxEvents = 1024
)

// load is the latest load report of the target, and the starts and ends since.
type load struct {
	reportedAt time.Time
	running    int
	events     []event
}

// event is a start (+1) or an end (-1) of a request.
type event struct {
	at     time.Time
	change int
}

// record adds a start or an end. setReport drops those that its report covers.
func (l *load) record(at time.Time, change int) {
	l.events = append(l.events, event{at, change})
	if len(l.events) > maxEvents {
		l.events = append(l.events[:0], l.events[maxEvents/2:]...)
	}
}

// setReport replaces the report, unless the present one is newer.
func (l *load) setReport(reportedAt time.Time, running int) {
	if reportedAt.Before(l.reportedAt) {
		return
	}
	l.reportedAt, l.running = reportedAt, running
	l.dropEvents(reportedAt)
}

// dropEvents removes the events up to and including a time.
func (l *load) dropEvents(at time.Time) {
	first := 0
	for first < len(l.events) && !l.events[first].at.After(at) {
		first++
	}
	l.events = append(l.events[:0], l.events[first:]...)
}

// estimate returns the estimated number of requests that run at the target, or 0
// without a report. It exceeds the gate's own count while requests of an earlier
// incarnation of the sidecar are still running.
func (l *load) estimate() int {
	if l.reportedAt.IsZero() {
		return 0
	}
	running := l.running
	for _, e := range l.events {
		running += e.change
	}
	return running
}

// firstTokenStats holds the moving average of the time to first token.
type firstTokenStats struct {
	mean    float64 // seconds
	samples int
}

func (f *firstTokenStats) add(elapsed time.Duration) {
	f.samples++
	if f.samples == 1 {
		f.mean = elapsed.Seconds()
		return
	}
	f.mean += (elapsed.Seconds() - f.mean) * firstTokenSmoothing
}

// ratio returns the ratio of a sample to the mean. It is 1 if there are too few
// samples or the sample is below maxNormalFirstToken.
func (f *firstTokenStats) ratio(elapsed time.Duration) float64 {
	if f.samples < firstTokenSamples || elapsed < maxNormalFirstToken || f.mean <= 0 {
		return 1
	}
	return elapsed.Seconds() / f.mean
}
