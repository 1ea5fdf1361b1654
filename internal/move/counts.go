package move

import (
	"math/bits"
	"time"
)

// Buckets is the number of buckets of a histogram of latencies. Bucket i holds
// latencies up to the unit times 2^i; the last bucket has no upper bound.
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
// field decreases, so two reports are merged by taking the larger value of each
// field.
type Counts struct {
	// Answers is the number of responses, including failed ones.
	Answers uint64
	// Failed is the number of responses that the target ended early, that timed
	// out or that reported an internal error.
	Failed uint64
	// Refused is the number of responses that reported an error of the caller.
	Refused uint64
	// FirstToken counts responses by time to first token.
	FirstToken Histogram
	// TokenGap counts responses by mean time between tokens.
	TokenGap Histogram
}

// mergeMax raises every field to at least its value in another report of the same
// incarnation.
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

// add adds the counts of another reporter.
func (c *Counts) add(o *Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Refused += o.Refused
	for i := range c.FirstToken {
		c.FirstToken[i] += o.FirstToken[i]
		c.TokenGap[i] += o.TokenGap[i]
	}
}
