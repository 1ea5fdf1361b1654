package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// Load is the load that one or more routers put on a target.
type Load struct {
	// Running is the number of requests that were sent and have not ended. Estimates have
	// fractions.
	Running float64
	// Backlog is the number of prompt tokens that were sent and await prefill.
	Backlog float64
	// Memory is the largest number of tokens that running requests may hold.
	Memory float64
}

func (l Load) plus(o Load) Load {
	return Load{l.Running + o.Running, l.Backlog + o.Backlog, l.Memory + o.Memory}
}

func (l Load) minus(o Load) Load {
	return Load{math.Max(0, l.Running-o.Running), math.Max(0, l.Backlog-o.Backlog), math.Max(0, l.Memory-o.Memory)}
}

func (l Load) times(factor float64) Load {
	return Load{l.Running * factor, l.Backlog * factor, l.Memory * factor}
}

// target is a router's estimate of the state of one target.
type target struct {
	*catalog.Target
	idHash uint64
	// shortID identifies the target in reports.
	shortID uint32
	// incarnation identifies this start of the target as evidence on crashes.
	incarnation uint32
	// crashedAt is when the target was found to have crashed.
	crashedAt time.Time
	ownLoad   Load
	// peerLoad is what peers reported on the target, as far as it still says something.
	peerLoad    decayingLoad
	cache       *prefixCache
	prefillRate prefillRate
	health      health
	coldLimit   tokenBucket
	limit       namedLimit
	// leavingSince is when the target was first heard to say that it is leaving; zero if it
	// was not.
	leavingSince time.Time
	// takesLongPrompts reports whether the target is marked for long prompts.
	takesLongPrompts bool
	// lastFirstToken is when a response with a prefill last started.
	lastFirstToken time.Time
	// index is the target's position among the targets of its service, and
	// serviceSize their number. generation is the dispatcher's generation that both
	// belong to.
	index, serviceSize int
	generation         uint64
	estimate           targetEstimate
}

// shortIDMask selects the bits of a hash that reports carry. Two targets with
// the same short ID count as one in reports.
const shortIDMask = 1<<21 - 1

func newTarget(t *catalog.Target, memory int) *target {
	idHash := xxhash.Sum64String(t.ID)
	return &target{
		Target:  t,
		idHash:  idHash,
		shortID: uint32(idHash & shortIDMask),

		incarnation: quarantine.Incarnation(t.ID, t.StartedUnixMilli),
		cache:       newPrefixCache(memory / 2),
	}
}

// prefillRate estimates the prefill rate of a target, in tokens per ms.
type prefillRate struct{ value float64 }

const (
	// initialTokensPerMS is the estimate before the first sample. Engines of the
	// present type prefill 50 to 70 tokens per ms.
	initialTokensPerMS = 50.0
	// minTokensPerMS and maxTokensPerMS bound the samples.
	minTokensPerMS, maxTokensPerMS = 5.0, 400.0
	// rateSmoothing is the weight of the newest sample.
	rateSmoothing = 0.05
	// minSampleTokens is the smallest number of tokens of a sample. The time of
	// shorter prefills is mostly that of the engine steps around them.
	minSampleTokens = 2000
)

func (r *prefillRate) tokensPerMS() float64 {
	if r.value == 0 {
		return initialTokensPerMS
	}
	return r.value
}

// observe adds a sample: the time to the first token after a prefill of some
// tokens.
func (r *prefillRate) observe(tokens float64, elapsed time.Duration) {
	if tokens < minSampleTokens || elapsed <= firstTokenOverhead {
		return
	}
	sample := tokens / float64((elapsed-firstTokenOverhead).Milliseconds()+1)
	r.value = r.tokensPerMS() + rateSmoothing*(math.Min(math.Max(sample, minTokensPerMS), maxTokensPerMS)-r.tokensPerMS())
}

// firstTokenOverhead is the time to a first token in addition to the prefill: the
// engine step that is in progress, and the step that generates the token.
const firstTokenOverhead = 20 * time.Millisecond

// tokenBucket limits the rate of requests to a target.
type tokenBucket struct {
	level float64
	at    time.Time
}

// take takes one token out of a bucket that is refilled at a rate per second up to
// depth, if there is one.
func (b *tokenBucket) take(rate, depth float64, now time.Time) {
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level = math.Min(depth, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level >= 1 {
		b.level--
	}
}

// untilNext returns the time until there is a token to take, for a rate above 0.
func (b *tokenBucket) untilNext(rate float64, now time.Time) time.Duration {
	missing := 1 - b.level - rate*now.Sub(b.at).Seconds()
	return max(0, time.Duration(missing/rate*float64(time.Second)))
}

// peek reports whether there is a token to take.
func (b *tokenBucket) peek(rate, depth float64, now time.Time) bool {
	if b.at.IsZero() {
		return depth >= 1
	}
	return math.Min(depth, b.level+rate*now.Sub(b.at).Seconds()) >= 1
}
