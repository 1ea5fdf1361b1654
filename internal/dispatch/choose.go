package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is a target for a request, with what is predicted there.
type candidate struct {
	target *target
	// ok says that the target has room now.
	ok bool
	// kept is the number of prompt tokens believed to be kept there.
	kept int
	// wait is the time that prompts sent before need, and first that to the
	// request's first token.
	wait, first time.Duration
	// cost orders candidates.
	cost float64
}

// Weights of the choice, in ms of an engine's time.
const (
	// rereadWeight is how often the time of reading a part again counts that
	// another target keeps: for the request itself, for those that wait behind
	// it, and for the parts that give way to it.
	rereadWeight = 8.0
	// spareReread is the same for requests that use spare capacity: they wait for
	// a target that keeps their parts rather than take others' time.
	spareReread = 25.0
	// crowdCost is what a full engine costs beside an empty one: each token of
	// its answers takes longer.
	crowdCost = 60.0
	// badCost is what a target costs whose answers all fail.
	badCost = 2000.0
	// zoneCost is what a target in another zone costs: the way there and back.
	zoneCost = 2.0
	// mostWait is the time that prompts may wait inside an engine, which admits
	// by arrival: enough to keep it busy between two answers.
	mostWait = 120.0
	// memoryShare is the part of an engine's memory that running requests may
	// fill; beyond it the engine interrupts the newest.
	memoryShare = 0.9
)

// choose returns the cheapest target for a request, and the cheapest of those
// with room now. It reports false if none may serve the request at all.
func (d *Dispatcher) choose(r *Request, now time.Time) (best, free candidate, some bool) {
	best.cost, free.cost = math.Inf(1), math.Inf(1)
	for _, t := range d.services[r.Service] {
		if d.prospect(t, now); !t.prospect.usable || r.Exclude[t.ID] || !r.Versions.allows(t.Version) {
			continue
		}
		c := d.candidate(r, t)
		if !some || c.cost < best.cost {
			best, some = c, true
		}
		if c.ok && c.cost < free.cost {
			free = c
		}
	}
	return best, free, some
}

// prospect is what all requests meet alike at a target during one decision.
type prospect struct {
	// round is the decision that it was worked out in.
	round uint64
	// usable says that the target may get requests, whatever its load, and room
	// that it has a place free.
	usable, room bool
	// rate is what the engine reads, in tokens a ms, and wait the time in ms that
	// prompts sent before need.
	rate, wait float64
	// memory is the number of tokens that a further request may hold; one that
	// runs alone may hold any number.
	memory float64
	// cost is the part of a candidate's cost that is the same for all requests.
	cost float64
}

// prospect works out what requests meet at a target, once in a decision and
// again after one was placed there.
func (d *Dispatcher) prospect(t *target, now time.Time) {
	if t.prospect.round == d.round {
		return
	}
	running := t.running()
	p := prospect{
		round: d.round, rate: t.rate.perMS(), room: running < t.Slots, memory: math.Inf(1),
		usable: !t.Leaving && !d.view.ZonesOut[t.Zone] && !t.health.down(now) && (!t.Cold(now) || d.peekCold(t, now)),
		cost:   badCost*t.health.badShare() + crowdCost*float64(running)/float64(t.Slots),
	}
	p.wait = t.backlog(now) / p.rate
	if running > 0 {
		p.memory = float64(d.memoryOf(t.Service))*memoryShare - t.own.Memory - t.peers.Memory
	}
	if t.Zone != d.limits.Zone {
		p.cost += zoneCost
	}
	t.prospect = p
}

// candidate predicts what a request meets at a target.
func (d *Dispatcher) candidate(r *Request, t *target) candidate {
	p := &t.prospect
	c := candidate{target: t, ok: p.room}
	waitMS, readMS := 0.0, 0.0
	if r.TokensIn > 0 {
		c.kept = r.keptAt(t)
		waitMS = p.wait
		readMS = readingTime(r.TokensIn, c.kept) / p.rate
		if waitMS > mostWait || float64(r.TokensIn+r.TokensOut) > p.memory {
			c.ok = false
		}
	}
	c.wait = ms(waitMS)
	c.first = ms(waitMS+readMS) + stepTime
	c.cost = p.cost + waitMS + readMS + longPromptCost(r.TokensIn-c.kept, t.takesLong)
	if !c.ok && waitMS <= mostWait {
		// No place is free; the time until one is can't be predicted.
		c.cost += mostWait
	}
	if r.shared > c.kept {
		missing := float64(r.shared - c.kept)
		if d.preferred(r, t) {
			missing *= 1 - preferredTrust
			c.first -= ms(preferredTrust * float64(r.shared-c.kept) / p.rate)
		}
		weight := rereadWeight
		if r.order.spare > 0 {
			weight = spareReread
		}
		c.cost += (weight - 1) * missing / p.rate
	}
	return c
}

// attentionTokens is the length of a context at which reading one more token
// takes twice as long as at the start, for engines of the present kind.
const attentionTokens = 55000

// readingTime returns the time of reading a prompt of which some tokens are
// kept, in tokens at the start of a context.
func readingTime(tokens, kept int) float64 {
	return float64(tokens-kept) * (1 + float64(tokens+kept)/2/attentionTokens)
}

// Figures of long prompts. Reading one holds up every answer that runs at the
// engine, so that all routers send them to the same few engines.
const (
	// longPrompt is the number of tokens from which reading a prompt makes pauses
	// that are late in the answers beside it: some five steps of full chunks.
	longPrompt = 20000
	// longEvery is the number of targets of which one takes long prompts.
	longEvery = 6
	// strayCost is what a long prompt costs at a target that takes none, and
	// guestCost what another one costs at a target that takes them, in ms.
	strayCost = 800.0
	guestCost = 150.0
)

// longPromptCost returns what a prompt costs beside its own time where it mixes
// long prompts with others.
func longPromptCost(tokens int, takesLong bool) float64 {
	switch {
	case tokens >= longPrompt && !takesLong:
		return strayCost
	case tokens > 0 && tokens < longPrompt && takesLong:
		return guestCost
	}
	return 0
}

// markLong marks the targets of a service that take long prompts: one in
// longEvery, by an order that all routers share.
func markLong(targets []*target) {
	ready := make([]*target, 0, len(targets))
	for _, t := range targets {
		t.takesLong = false
		if !t.Leaving {
			ready = append(ready, t)
		}
	}
	slices.SortFunc(ready, func(a, b *target) int { return cmp.Compare(mix(b.key), mix(a.key)) })
	for _, t := range ready[:min(len(ready), (len(targets)+longEvery/2)/longEvery)] {
		t.takesLong = true
	}
}

// sharedTokens returns the length of the parts that other requests may share:
// all but the last.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
	}
	return tokens
}

// preferredTrust is how sure it is that the target which all routers prefer for
// a shared part keeps it, whoever sent it there.
const preferredTrust = 0.8

// preferred reports whether a target is the one that all routers prefer for
// prompts that share the request's parts: the first in rendezvous order of the
// last shared part.
func (d *Dispatcher) preferred(r *Request, t *target) bool {
	if r.preferredOf != d.generation {
		r.preferredOf, r.preferred = d.generation, nil
		shared, best := r.Parts[len(r.Parts)-2].Key, uint64(0)
		for _, o := range d.services[r.Service] {
			if score := mix(shared ^ o.key); !o.Leaving && (r.preferred == nil || score > best) {
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

// Parts of the requests that a cold target bears.
const (
	// mostColdOwners is the number of routers that may send to one cold target,
	// so that one of them is mostly there.
	mostColdOwners = 4
	// coldViews is the number of sets of owners at a time that differing views of
	// the fleet allow.
	coldViews = 2
	// coldCaution is the part of its rate that all owners use together.
	coldCaution = 0.6
)

// coldPlan returns how many routers send to a cold target of a service, and how
// many requests a second each. In any second each sends its rate and one more, and
// all sets of owners together stay within the bound.
func (d *Dispatcher) coldPlan(service string) (owners int, rate float64) {
	s := d.view.Config.Services[service]
	if s == nil || s.ColdRequestsPerSecond <= 0 {
		return 0, math.Inf(1)
	}
	bound := s.ColdRequestsPerSecond*d.limits.ColdOverage + d.limits.ColdTolerance
	owners = max(1, min(mostColdOwners, int(bound/(2*coldViews))))
	rate = min(s.ColdRequestsPerSecond*coldCaution/float64(owners), bound/float64(coldViews*owners)-1)
	return owners, max(0, rate)
}

// ownsCold reports whether this router is among those that send to a cold
// target: the first in rendezvous order of the members.
func (d *Dispatcher) ownsCold(t *target, owners int) bool {
	own := mix(t.key ^ hashName(d.limits.Self))
	ahead := 0
	for name := range d.view.Members {
		if name != d.limits.Self && mix(t.key^hashName(name)) > own {
			ahead++
		}
	}
	return ahead < owners
}

func (d *Dispatcher) peekCold(t *target, now time.Time) bool {
	owners, rate := d.coldPlan(t.Service)
	return math.IsInf(rate, 1) || d.ownsCold(t, owners) && t.cold.peek(rate, 1, now)
}

func (d *Dispatcher) takeCold(t *target, now time.Time) {
	if _, rate := d.coldPlan(t.Service); !math.IsInf(rate, 1) {
		t.cold.take(rate, 1, now)
	}
}
