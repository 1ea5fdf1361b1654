package move

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the time after which an old answer has half its weight, so
	// that a fault that affects both versions is not attributed to the new one.
	recentHalfLife = time.Minute
	// minComparedAnswers is the minimum number of the old version's answers that
	// new ones are compared with.
	minComparedAnswers = 20
	// maxSlowFraction is the maximum fraction of the old version's answers above
	// the latency that counts as slow.
	maxSlowFraction = 0.1
	// rateSigmas is the number of standard deviations by which the old version's
	// rate is raised above its estimate.
	rateSigmas = 2.0
)

// baseline holds counts of the old version in which recent answers have more
// weight.
type baseline struct {
	answers, failed, refused float64
	firstToken, tokenGap     [Buckets]float64
	decayedAt                time.Time
}

// decay reduces the weight of the counted answers by the time elapsed until
// now.
func (b *baseline) decay(now time.Time) {
	if elapsed := now.Sub(b.decayedAt); elapsed > 0 && !b.decayedAt.IsZero() {
		factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
		b.answers *= factor
		b.failed *= factor
		b.refused *= factor
		for i := range b.firstToken {
			b.firstToken[i] *= factor
			b.tokenGap[i] *= factor
		}
	}
	b.decayedAt = now
}

// add counts answers at full weight.
func (b *baseline) add(c *Counts) {
	b.answers += float64(c.Answers)
	b.failed += float64(c.Failed)
	b.refused += float64(c.Refused)
	for i := range b.firstToken {
		b.firstToken[i] += float64(c.FirstToken[i])
		b.tokenGap[i] += float64(c.TokenGap[i])
	}
}

// slowThreshold returns the lowest bucket that has at most maxSlowFraction of
// the latencies above it, and the upper rate of those above. It reports false
// if there are too few latencies.
func slowThreshold(h *[Buckets]float64) (bucket int, rate float64, ok bool) {
	total := 0.0
	for _, n := range h {
		total += n
	}
	if total < minComparedAnswers {
		return 0, 0, false
	}
	above := total
	for bucket = range h {
		above -= h[bucket]
		if above <= maxSlowFraction*total {
			break
		}
	}
	return bucket, upperRate(math.Max(0, above), total), true
}

// upperRate is the upper bound of Wilson's score interval for events among n
// (Wilson 1927, "Probable Inference"), at rateSigmas.
func upperRate(events, n float64) float64 {
	if n <= 0 {
		return minRate
	}
	const z2 = rateSigmas * rateSigmas
	p := events / n
	center := p + z2/(2*n)
	halfWidth := rateSigmas * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (center + halfWidth) / (1 + z2/n)
}
