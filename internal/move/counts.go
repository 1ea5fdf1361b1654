package move

import (
	"math/bits"
	"time"
)

// Buckets is the number of buckets of a histogram of latencies. Bucket i holds
// latencies up to the unit times 2^i; the last one holds all above.
const Buckets = 12

// Units of the histograms: the upper bound of the first bucket.
const (
	FirstTokenUnit = 8 * time.Millisecond
	TokenGapUnit   = time.Millisecond
)

// Histogram counts latencies by bucket.
type Histogram [Buckets]uint64

// add counts one latency.
func (h *Histogram) add(latency, unit time.Duration) {
	units := max(0, int64((latency-1)/unit))
	h[min(bits.Len64(uint64(units)), Buckets-1)]++
}

// total returns the number of latencies.
func (h *Histogram) total() uint64 { return h.above(-1) }

// above returns the number of latencies in buckets above bucket b.
func (h *Histogram) above(b int) uint64 {
	var n uint64
	for _, c := range h[b+1:] {
		n += c
	}
	return n
}

// Counts holds the counts of one cell. Within an incarnation of its reporter no
// field decreases, so that two reports are merged by the larger value.
type Counts struct {
	// Answers, failed ones included.
	Answers uint64
	// Failed answers: the target ended them early, timed out or reported an
	// internal error.
	Failed uint64
	// Refused answers: the target reported an error of the caller.
	Refused uint64
	// FirstToken counts answers by time to first token.
	FirstToken Histogram
	// TokenGap counts answers by mean time between tokens.
	TokenGap Histogram
}

// mergeMax raises every field to its value in a report of the same incarnation.
func (c *Counts) mergeMax(o *Counts) {
	c.Answers = max(c.Answers, o.Answers)
	c.Failed = max(c.Failed, o.Failed)
	c.Refused = max(c.Refused, o.Refused)
	for i := range c.FirstToken {
		c.FirstToken[i] = max(c.FirstToken[i], o.FirstToken[i])
		c.TokenGap[i] = max(c.TokenGap[i], o.TokenGap[i])
	}
}

// minus returns what was counted since an earlier state of the same counts.
func (c *Counts) minus(earlier *Counts) Counts {
	d := Counts{
		Answers: c.Answers - earlier.Answers,
		Failed:  c.Failed - earlier.Failed,
		Refused: c.Refused - earlier.Refused,
	}
	for i := range c.FirstToken {
		d.FirstToken[i] = c.FirstToken[i] - earlier.FirstToken[i]
		d.TokenGap[i] = c.TokenGap[i] - earlier.TokenGap[i]
	}
	return d
}

// plus adds counts of another reporter.
func (c *Counts) plus(o *Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Refused += o.Refused
	for i := range c.FirstToken {
		c.FirstToken[i] += o.FirstToken[i]
		c.TokenGap[i] += o.TokenGap[i]
	}
}
