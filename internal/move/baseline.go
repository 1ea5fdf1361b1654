package move

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the time after which an old answer counts half, so that
	// trouble that hits both versions is not blamed on the new one.
	recentHalfLife = time.Minute
	// leastCompared is the least number of the old version's answers that new
	// ones are compared with.
	leastCompared = 20
	// slowTail is the part of the old version's answers above the latency that
	// counts as slow, at most.
	slowTail = 0.1
	// rateSigmas is how many standard deviations the old version's rate is
	// taken above its estimate.
	rateSigmas = 2.0
)

// baseline is what the old version did, with recent answers weighing more.
type baseline struct {
	answers, failed, refused float64
	firstToken, tokenGap     [Buckets]float64
	at                       time.Time
}

// decay lets answers lose weight up to now.
func (b *baseline) decay(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 && !b.at.IsZero() {
		factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
		b.answers *= factor
		b.failed *= factor
		b.refused *= factor
		for i := range b.firstToken {
			b.firstToken[i] *= factor
			b.tokenGap[i] *= factor
		}
	}
	b.at = now
}

// add counts answers at their full weight.
func (b *baseline) add(c *Counts) {
	b.answers += float64(c.Answers)
	b.failed += float64(c.Failed)
	b.refused += float64(c.Refused)
	for i := range b.firstToken {
		b.firstToken[i] += float64(c.FirstToken[i])
		b.tokenGap[i] += float64(c.TokenGap[i])
	}
}

// slowAbove returns the lowest bucket above which lie at most slowTail of the
// latencies, and the rate of those above. It reports false where there are too
// few latencies to say.
func slowAbove(h *[Buckets]float64) (bucket int, rate float64, ok bool) {
	total := 0.0
	for _, n := range h {
		total += n
	}
	if total < leastCompared {
		return 0, 0, false
	}
	above := total
	for bucket = range h {
		above -= h[bucket]
		if above <= slowTail*total {
			break
		}
	}
	return bucket, upperRate(math.Max(0, above), total), true
}

// upperRate is the upper end of Wilson's score interval for events among n
// (Wilson 1927, "Probable Inference"), at rateSigmas.
func upperRate(events, n float64) float64 {
	if n <= 0 {
		return leastRate
	}
	const z2 = rateSigmas * rateSigmas
	p := events / n
	middle := p + z2/(2*n)
	spread := rateSigmas * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (middle + spread) / (1 + z2/n)
}
