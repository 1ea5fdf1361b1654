package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is a possible target of a request, with the predictions for it.
type candidate struct {
	target *target
	// hasRoom reports whether the target can accept the request now.
	hasRoom bool
	// cachedTokens is the estimated number of prompt tokens in the target's prefix
	// cache.
	cachedTokens int
	// wait is the time to prefill the backlog ahead of the request that is known, averageWait
	// that for what a target has beyond it on average, and firstToken the time to the request's
	// first token.
	wait, averageWait, firstToken time.Duration
	// cost orders candidates; lower is better.
	cost float64
}

// Costs and limits of the choice. Costs are in ms of engine time.
const (
	// prefixMissWeight multiplies the prefill time of a shared prefix that is not
	// cached at the target: the prefill delays the request itself and those behind
	// it, and evicts other parts from the cache.
	prefixMissWeight = 8.0
	// overSharePrefixMissWeight is the same for requests that use spare capacity:
	// they wait for a target that caches their prefix, which leaves engine time to
	// others.
	overSharePrefixMissWeight = 25.0
	// fullLoadCostMS is the cost of a fully loaded engine relative to an idle one:
	// each output token takes longer.
	fullLoadCostMS = 60.0
	// failingCostMS is the cost of a target at which all requests fail.
	failingCostMS = 2000.0
	// crossZoneCostMS is the cost of a target in another availability zone: the
	// round trip.
	crossZoneCostMS = 2.0
	// maxEngineWaitMS is the longest prefill backlog to queue inside an engine,
	// which admits prompts in order of arrival. It is enough to keep the engine
	// busy between two responses.
	maxEngineWaitMS = 120.0
	// averageWaitMargin multiplies the average wait in the prediction of a first token, so that
	// most of them come in time: the backlogs of targets differ.
	averageWaitMargin = 1.5
	// maxMemoryFraction is the fraction of an engine's memory that running requests
	// may use; beyond it the engine interrupts the newest requests.
	maxMemoryFraction = 0.9
)

// choose returns the candidate of the lowest cost for a request, and the one of the
// lowest cost with room now. It reports false if no target may serve the request now;
// openIn is then the time until one may by the limit that it names and the time for
// which it is closed, or math.MaxInt64. Targets that say that they are leaving are
// candidates only if there is no other.
func (d *Dispatcher) choose(r *Request, now time.Time) (best, available candidate, openIn time.Duration, found bool) {
	best, available, openIn, found = d.chooseAmong(r, false, now)
	if !found && openIn == math.MaxInt64 && len(d.leavingNotices) > 0 {
		return d.chooseAmong(r, true, now)
	}
	return best, available, openIn, found
}

// chooseAmong is choose among the targets that say that they are leaving, or among the
// others.
func (d *Dispatcher) chooseAmong(r *Request, leaving bool, now time.Time) (best, available candidate, openIn time.Duration, found bool) {
	best.cost, available.cost, openIn = math.Inf(1), math.Inf(1), math.MaxInt64
	for _, t := range d.services[r.Service] {
		if d.updateEstimate(t, now); !t.estimate.usable || t.saysLeaving() != leaving || r.Exclude[t.ID] || !r.Versions.allows(t.Version) {
			continue
		}
		if t.estimate.openIn > 0 {
			openIn = min(openIn, t.estimate.openIn)
			continue
		}
		c := d.candidate(r, t)
		if !found || c.cost < best.cost {
			best, found = c, true
		}
		if c.hasRoom && c.cost < available.cost {
			available = c
		}
	}
	return best, available, openIn, found
}

// targetEstimate is the part of the predictions for a target that is the same
// for all requests of one Decide.
type targetEstimate struct {
	// round is the dispatcher's round in which the estimate was computed.
	round uint64
	// usable reports whether the target may get requests, whatever its load, and
	// hasSlot whether it has a free slot.
	usable, hasSlot bool
	// openIn is the time until the target may get a request by the limit that it names
	// and the time for which it is closed.
	openIn time.Duration
	// tokensPerMS is the engine's prefill rate, waitMS the time to prefill the backlog that is
	// known, and averageWaitMS that for what a target has beyond it on average.
	tokensPerMS, waitMS, averageWaitMS float64
	// freeMemory is the number of tokens that one more request may hold. A request
	// that runs alone may hold any number.
	freeMemory float64
	// load is the fraction of the target's slots in use.
	load float64
	// cost is the part of a candidate's cost that doesn't depend on the request.
	cost float64
}

// updateEstimate computes the estimate of a target, once per round and again
// after a request was placed there.
func (d *Dispatcher) updateEstimate(t *target, now time.Time) {
	if t.estimate.round == d.round {
		return
	}
	known, peers := d.peerLoad(t, now)
	running := t.ownLoad.Running + peers.Running
	p := targetEstimate{
		round: d.round, tokensPerMS: t.prefillRate.tokensPerMS(), hasSlot: running < float64(t.Slots), freeMemory: math.Inf(1),
		usable: d.acceptsRequests(t, now) && !d.view.ZonesOut[t.Zone] && !t.health.isDown(now) && (!t.Cold(now) || d.canSendCold(t, now)),
		load:   running / float64(t.Slots),
	}
	p.cost = failingCostMS*t.health.failureRatio() + fullLoadCostMS*p.load
	p.openIn = max(d.limitWait(t, now), d.closedFor(t, now))
	p.waitMS = (t.ownLoad.Backlog + known.Backlog) / p.tokensPerMS
	p.averageWaitMS = (peers.Backlog - known.Backlog) / p.tokensPerMS
	if running > 0 {
		p.freeMemory = float64(d.engineMemory(t.Service))*maxMemoryFraction - t.ownLoad.Memory - peers.Memory
	}
	if t.Zone != d.config.Zone {
		p.cost += crossZoneCostMS
	}
	t.estimate = p
}

// candidate returns the predictions for a request at a target.
func (d *Dispatcher) candidate(r *Request, t *target) candidate {
	p := &t.estimate
	c := candidate{target: t, hasRoom: p.hasSlot}
	waitMS, averageWaitMS, prefillMS := 0.0, 0.0, 0.0
	if r.TokensIn > 0 {
		c.cachedTokens = r.cachedTokensAt(t)
		waitMS, averageWaitMS = p.waitMS, p.averageWaitMS
		prefillMS = prefillCost(r.TokensIn, c.cachedTokens) / p.tokensPerMS
		if waitMS > maxEngineWaitMS || float64(r.TokensIn+r.TokensOut) > p.freeMemory {
			c.hasRoom = false
		}
	}
	c.wait, c.averageWait = ms(waitMS), ms(averageWaitMS)
	c.firstToken = ms(waitMS+averageWaitMargin*averageWaitMS+prefillMS) + firstTokenOverhead
	c.cost = p.cost + waitMS + prefillMS + longPromptCost(r.TokensIn-c.cachedTokens, t.takesLongPrompts)
	if !c.hasRoom && waitMS <= maxEngineWaitMS {
		// There is no free slot or memory, and no prediction of when there will be.
		c.cost += maxEngineWaitMS
	}
	if r.sharedTokens > c.cachedTokens {
		missing := float64(r.sharedTokens - c.cachedTokens)
		if d.isPreferred(r, t) {
			missing *= 1 - preferredHitProbability
			c.firstToken -= ms(preferredHitProbability * float64(r.sharedTokens-c.cachedTokens) / p.tokensPerMS)
		}
		weight := prefixMissWeight
		if r.order.overShareRatio > 0 {
			weight = overSharePrefixMissWeight
		}
		c.cost += (weight - 1) * missing / p.tokensPerMS
	}
	return c
}

// attentionDoublingTokens is the context length at which the prefill of one
// more token takes twice as long as at the start, for the present type of
// engine.
const attentionDoublingTokens = 55000

// prefillCost returns the prefill time of a prompt with some cached leading
// tokens, in multiples of the time of one token at the start of a context.
func prefillCost(tokens, cached int) float64 {
	return float64(tokens-cached) * (1 + float64(tokens+cached)/2/attentionDoublingTokens)
}

// Placement of long prompts. The prefill of one delays every response that runs
// at the engine, so all routers send them to the same few engines.
const (
	// longPromptTokens is the number of uncached tokens from which a prompt is
	// long: its prefill makes concurrent responses pause for too long to be on
	// time. It takes about five engine steps with full chunks.
	longPromptTokens = 20000
	// targetsPerLongTarget is the number of targets per target that takes long
	// prompts.
	targetsPerLongTarget = 6
	// misplacedLongCostMS is the cost of a long prompt at a target that isn't
	// marked for long prompts, and misplacedShortCostMS that of a shorter one at a
	// target that is.
	misplacedLongCostMS  = 800.0
	misplacedShortCostMS = 150.0
)

// longPromptCost returns the extra cost of a prompt at a target where it mixes long
// prompts with shorter ones.
func longPromptCost(tokens int, takesLongPrompts bool) float64 {
	switch {
	case tokens >= longPromptTokens && !takesLongPrompts:
		return misplacedLongCostMS
	case tokens > 0 && tokens < longPromptTokens && takesLongPrompts:
		return misplacedShortCostMS
	}
	return 0
}

// markLongPromptTargets marks the targets of a service that take long prompts:
// one in targetsPerLongTarget, in an order that is the same at all routers.
func markLongPromptTargets(targets []*target) {
	active := make([]*target, 0, len(targets))
	for _, t := range targets {
		t.takesLongPrompts = false
		if !t.isLeaving() {
			active = append(active, t)
		}
	}
	slices.SortFunc(active, func(a, b *target) int { return cmp.Compare(mix(b.idHash), mix(a.idHash)) })
	for _, t := range active[:min(len(active), (len(targets)+targetsPerLongTarget/2)/targetsPerLongTarget)] {
		t.takesLongPrompts = true
	}
}

// sharedTokens returns the length of the prefix that other requests may share: all
// parts but the last.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
	}
	return tokens
}

// preferredHitProbability is the assumed probability that the preferred target of a
// shared prefix caches it, because this or another router sent it there.
const preferredHitProbability = 0.8

// isPreferred reports whether a target is the one that all routers prefer for
// prompts with the request's shared prefix. It is chosen by rendezvous hashing
// with the key of the last shared part.
func (d *Dispatcher) isPreferred(r *Request, t *target) bool {
	if r.preferredGeneration != d.generation {
		r.preferredGeneration, r.preferred = d.generation, nil
		shared, best := r.Parts[len(r.Parts)-2].Key, uint64(0)
		for _, o := range d.services[r.Service] {
			if score := mix(shared ^ o.idHash); !o.isLeaving() && (r.preferred == nil || score > best) {
				r.preferred, best = o, score
			}
		}
	}
	return r.preferred == t
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Division of a cold target's request rate among its owners, the routers that
// may send to it.
const (
	// maxColdOwners is the largest number of owners of one cold target. With
	// several, one of them is available most of the time.
	maxColdOwners = 4
	// maxColdOwnerSets is the number of different owner sets that may be active at
	// once while routers have different views of the fleet.
	maxColdOwnerSets = 2
	// coldRateFraction is the fraction of the target's rate that all owners use
	// together.
	coldRateFraction = 0.6
)

// coldRateLimit returns the number of owners of a cold target of a service, and how
// many requests per second each may send. In any second each sends at most its rate
// plus one request, and all owner sets together stay within the bound.
func (d *Dispatcher) coldRateLimit(service string) (owners int, rate float64) {
	s := d.view.Config.Services[service]
	if s == nil || s.ColdRequestsPerSecond <= 0 {
		return 0, math.Inf(1)
	}
	bound := s.ColdRequestsPerSecond*d.config.ColdOverage + d.config.ColdTolerance
	owners = max(1, min(maxColdOwners, int(bound/(2*maxColdOwnerSets))))
	rate = min(s.ColdRequestsPerSecond*coldRateFraction/float64(owners), bound/float64(maxColdOwnerSets*owners)-1)
	return owners, max(0, rate)
}

// isOwner reports whether this router is one of the owners of a target that has a rate:
// the first members in the order of rendezvous hashing.
func (d *Dispatcher) isOwner(t *target, owners int) bool {
	ownScore := mix(t.idHash ^ hashName(d.config.Self))
	ahead := 0
	for name := range d.view.Members {
		if name != d.config.Self && mix(t.idHash^hashName(name)) > ownScore {
			ahead++
		}
	}
	return ahead < owners
}

func (d *Dispatcher) canSendCold(t *target, now time.Time) bool {
	owners, rate := d.coldRateLimit(t.Service)
	return math.IsInf(rate, 1) || d.isOwner(t, owners) && t.coldLimit.peek(rate, 1, now)
}

func (d *Dispatcher) consumeColdToken(t *target, now time.Time) {
	if _, rate := d.coldRateLimit(t.Service); !math.IsInf(rate, 1) {
		t.coldLimit.take(rate, 1, now)
	}
}
