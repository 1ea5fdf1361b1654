package dispatch

import "time"

const (
	// sampleInterval is the interval between the samples of a history, and
	// historySamples their number. Together they cover the age of peers' reports.
	sampleInterval = 250 * time.Millisecond
	historySamples = 24
)

// history holds recent samples of a value. Samples count as sampleInterval apart.
// While the dispatcher's queue is empty it takes none, so a growth right after that
// may look too small or too large.
type history struct {
	samples [historySamples]float64
	// newest is the index of the newest sample, and at its time.
	newest int
	at     time.Time
}

// record adds a sample if the newest one is old enough.
func (h *history) record(value float64, now time.Time) {
	if now.Sub(h.at) < sampleInterval {
		return
	}
	h.newest, h.at = (h.newest+1)%historySamples, now
	h.samples[h.newest] = value
}

// valueAt returns the newest sample that is at least of an age, or the oldest one.
func (h *history) valueAt(age time.Duration) float64 {
	back := min(historySamples-1, int((age+sampleInterval-1)/sampleInterval))
	return h.samples[(h.newest-back+historySamples)%historySamples]
}
