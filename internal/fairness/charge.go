package fairness

import "math"

const (
	// defaultCost is the estimate, in tokens or units, for a request without a
	// hint while no cost has been recorded.
	defaultCost = 128
	// maxHintFactor limits how far a hint moves an estimate up or down from the
	// mean recorded cost. Hints may be wrong by a factor of 20.
	maxHintFactor = 4
	// accountCostWindow is the number of requests in an account's mean cost, and
	// processCostWindow that in the mean over all accounts of this process.
	accountCostWindow = 16
	processCostWindow = 256
)

// Charge tracks the service charged for one running request.
type Charge struct {
	counters *Counters
	entry    *entry
	// estimate is the expected cost of the request at its start.
	estimate float64
	charged  float64
	settled  bool
}

// Start counts a request of the account as running. Its estimated cost comes
// from the account's mean cost and the hint; hint 0 means unknown. The caller
// adds the service that the request receives and settles the charge at its end.
func (c *Counters) Start(account string, hint uint64) *Charge {
	e := c.entry(account)
	c.startSequence++
	e.lastStart = c.startSequence
	charge := &Charge{counters: c, entry: e, estimate: c.estimate(e, float64(hint))}
	e.outstanding += charge.estimate
	c.fixHeaps(e)
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
	ch.counters.delivered += service
	ch.entry.outstanding -= before - ch.outstanding()
	ch.counters.changed[ch.entry.account] = struct{}{}
	ch.counters.fixHeaps(ch.entry)
	ch.counters.liftTrailing()
}

// Settle ends the request and removes the uncharged rest of its estimate. Later
// calls have no effect.
func (ch *Charge) Settle() {
	if ch.settled {
		return
	}
	ch.entry.outstanding = math.Max(0, ch.entry.outstanding-ch.outstanding())
	ch.settled = true
	if ch.charged > 0 {
		ch.entry.costs.add(ch.charged, accountCostWindow)
		ch.counters.costs.add(ch.charged, processCostWindow)
	}
	ch.counters.fixHeaps(ch.entry)
}

// Charged returns the service charged so far.
func (ch *Charge) Charged() float64 { return ch.charged }

// outstanding returns the part of the estimate that has not been charged.
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
		return defaultCost
	case mean == 0:
		return math.Min(hint, defaultCost*maxHintFactor)
	case hint == 0:
		return mean
	}
	return math.Min(math.Max(hint, mean/maxHintFactor), mean*maxHintFactor)
}

// MeanCost returns the mean cost, in tokens or units, of the requests that ended
// recently in this process.
func (c *Counters) MeanCost() float64 {
	if c.costs.value == 0 {
		return defaultCost
	}
	return c.costs.value
}

// meanCost is the arithmetic mean of the costs until the window is full, and an
// exponentially weighted moving average after that; 0 until the first cost.
type meanCost struct {
	value   float64
	samples int
}

// add includes one cost. window is the number of costs that the mean covers.
func (m *meanCost) add(cost float64, window int) {
	m.samples = min(m.samples+1, window)
	m.value += (cost - m.value) / float64(m.samples)
}
