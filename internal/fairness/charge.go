package fairness

import "math"

const (
	// unknownCost is the estimate, in tokens or units, for a request without a
	// hint when no cost has been seen yet.
	unknownCost = 128
	// hintTrust is the factor by which a hint may move an estimate away from
	// the mean of the costs seen. Hints may be wrong by 20 times.
	hintTrust = 4
	// accountMemory and fleetMemory are the numbers of requests over which the
	// mean cost of an account, and of all, is taken.
	accountMemory = 16
	fleetMemory   = 256
)

// Charge is the account of one running request.
type Charge struct {
	counters *Counters
	entry    *entry
	// estimate is what the request was expected to need at its start.
	estimate float64
	charged  float64
	settled  bool
}

// Start counts a request of the account as running, at an estimate made from
// the mean of the account's costs and the hint; hint 0 means unknown. The
// caller charges what the request receives and settles it once.
func (c *Counters) Start(account string, hint uint64) *Charge {
	e := c.entry(account)
	c.turn++
	e.lastTurn = c.turn
	charge := &Charge{counters: c, entry: e, estimate: c.estimate(e, float64(hint))}
	e.expected += charge.estimate
	c.moved(e)
	return charge
}

// Add charges service that the request received, in tokens or units.
func (ch *Charge) Add(service float64) {
	if service <= 0 || ch.settled {
		return
	}
	before := ch.outstanding()
	ch.charged += service
	ch.entry.own += service
	ch.counters.given += service
	ch.entry.expected -= before - ch.outstanding()
	ch.counters.changed[ch.entry.account] = struct{}{}
	ch.counters.moved(ch.entry)
	ch.counters.levelUp()
}

// Settle ends the request: what it did not receive counts no longer. Later
// calls have no effect.
func (ch *Charge) Settle() {
	if ch.settled {
		return
	}
	ch.entry.expected = math.Max(0, ch.entry.expected-ch.outstanding())
	ch.settled = true
	if ch.charged > 0 {
		ch.entry.costs.add(ch.charged, accountMemory)
		ch.counters.costs.add(ch.charged, fleetMemory)
	}
	ch.counters.moved(ch.entry)
}

// Charged returns the service charged so far.
func (ch *Charge) Charged() float64 { return ch.charged }

// outstanding returns the part of the estimate that is not charged yet.
func (ch *Charge) outstanding() float64 {
	if ch.settled {
		return 0
	}
	return math.Max(0, ch.estimate-ch.charged)
}

// estimate returns the expected cost of a request.
func (c *Counters) estimate(e *entry, hint float64) float64 {
	mean := e.costs.value
	if mean == 0 {
		mean = c.costs.value
	}
	switch {
	case mean == 0 && hint == 0:
		return unknownCost
	case mean == 0:
		return math.Min(hint, unknownCost*hintTrust)
	case hint == 0:
		return mean
	}
	return math.Min(math.Max(hint, mean/hintTrust), mean*hintTrust)
}

// MeanCost returns the mean cost of the requests that ended here lately, in
// tokens or units.
func (c *Counters) MeanCost() float64 {
	if c.costs.value == 0 {
		return unknownCost
	}
	return c.costs.value
}

// meanCost is the mean of the first costs and, after them, an exponentially
// weighted one; 0 until the first cost.
type meanCost struct {
	value float64
	costs int
}

// add takes in one cost. memory is the number of costs that the mean is over.
func (m *meanCost) add(cost float64, memory int) {
	m.costs = min(m.costs+1, memory)
	m.value += (cost - m.value) / float64(m.costs)
}
