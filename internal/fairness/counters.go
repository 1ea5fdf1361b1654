// Package fairness decides which client account starts next at one target.
//
// The order is least service first: a virtual token counter per account (Sheng
// et al., "Fairness in Serving Large Language Models", OSDI 2024), extended by
// fleet-wide totals that a ledger supplies. Nothing here does I/O, starts a
// goroutine or reads a clock.
//
// Service is counted in tokens or units. Virtual service is service divided by
// the account's weight, plus the account's lift.
package fairness

import (
	"container/heap"
	"math"

	"github.com/cespare/xxhash/v2"
)

// DefaultCredit is the virtual service by which an account may trail the most
// served account that waits beside it, before a Counters is told better.
const DefaultCredit = 65536

// leastLift is the least virtual service that a lift adds. It keeps rounding
// from causing lifts without end.
const leastLift = 1

// Counters holds the service of all client accounts as one process knows it.
// It is not safe for concurrent use.
type Counters struct {
	weight   func(account string) float64
	credit   float64
	accounts map[string]*entry
	order    orderHeap
	lead     leadHeap
	turn     uint64
	costs    meanCost
	changed  map[string]struct{}
	// given is the service that this process gave to all accounts.
	given float64
}

// New returns counters without any service. weight gives the share of an
// account relative to others; a value that is not above 0 counts as 1.
func New(weight func(account string) float64) *Counters {
	return &Counters{
		weight:   weight,
		credit:   DefaultCredit,
		accounts: make(map[string]*entry),
		changed:  make(map[string]struct{}),
	}
}

// SetCredit sets the virtual service by which an account may trail the most
// served account that waits beside it. It should not be less than the bound of
// Limits, or accounts that never went idle lose service.
func (c *Counters) SetCredit(credit float64) { c.credit = credit }

// AddWaiting says that one more request of the account waits here.
func (c *Counters) AddWaiting(account string) {
	e := c.entry(account)
	e.waiting++
	if e.waiting > 1 {
		return
	}
	c.refreshWeight(e)
	if !e.known && len(c.order) > 0 {
		// Until the ledger answers, the account stands level with the least
		// served one: neither favoured nor starved.
		e.provisional = math.Max(e.provisional, c.order[0].settled()-e.settled())
	}
	heap.Push(&c.order, e)
	heap.Push(&c.lead, e)
	c.levelUp()
}

// RemoveWaiting says that one request of the account waits here no longer.
func (c *Counters) RemoveWaiting(account string) {
	e, ok := c.accounts[account]
	if !ok || e.waiting == 0 {
		return
	}
	e.waiting--
	if e.waiting > 0 {
		return
	}
	heap.Remove(&c.order, e.orderIndex)
	heap.Remove(&c.lead, e.leadIndex)
}

// Next returns the waiting account that starts next: the one with the least
// virtual service, running requests counted at their estimates. It reports
// false if no account waits.
func (c *Counters) Next() (string, bool) {
	if len(c.order) == 0 {
		return "", false
	}
	c.levelUp()
	return c.order[0].account, true
}

// Waiting returns the number of accounts that wait here.
func (c *Counters) Waiting() int { return len(c.order) }

// Pick returns the account that starts next among the given ones, or "" if
// there is none. It takes time linear in their number and ignores AddWaiting; Next
// is the choice of callers that keep AddWaiting up to date.
func (c *Counters) Pick(waiting []string) string {
	lead := math.Inf(-1)
	for _, account := range waiting {
		lead = math.Max(lead, c.entry(account).settled())
	}
	var best *entry
	for _, account := range waiting {
		e := c.entry(account)
		c.lift(e, lead-c.credit)
		if best == nil || e.before(best) {
			best = e
		}
	}
	if best == nil {
		return ""
	}
	return best.account
}

// FleetTotal is what the ledger knows of an account.
type FleetTotal struct {
	// Others is the service that other processes gave.
	Others float64
	// Own is this process's own service as the ledger knows it.
	Own float64
	// Lift is the account's lift in virtual service.
	Lift float64
	// Reporters is the number of processes that have reported service.
	Reporters int
}

// Merge takes over what the ledger knows of an account. Totals and lift only
// rise, so that repeats and reordering do no harm.
func (c *Counters) Merge(account string, fleet FleetTotal) {
	e := c.entry(account)
	e.known = true
	e.provisional = 0
	e.others = math.Max(e.others, fleet.Others)
	e.reported = math.Max(e.reported, fleet.Own)
	e.fleetLift = math.Max(e.fleetLift, fleet.Lift)
	e.reporters = max(1, fleet.Reporters)
	c.moved(e)
	c.levelUp()
}

// ReloadWeights reads the weights again, after the configuration changed.
func (c *Counters) ReloadWeights() {
	for _, e := range c.accounts {
		c.refreshWeight(e)
	}
	heap.Init(&c.order)
	heap.Init(&c.lead)
}

// AccountState is what a process knows of one account.
type AccountState struct {
	// Account is the client account.
	Account string
	// Own is the service given by this process since its start.
	Own float64
	// Others is the service given by other processes, as far as known.
	Others float64
	// Lift is the virtual service added when the account returned from idle.
	Lift float64
	// Known says whether the ledger has answered for the account.
	Known bool
	// Waiting says whether a request of the account waits here.
	Waiting bool
	// Virtual is the virtual service, running requests counted as charged.
	Virtual float64
}

// State returns what is known of an account.
func (c *Counters) State(account string) AccountState {
	e, ok := c.accounts[account]
	if !ok {
		return AccountState{Account: account}
	}
	return AccountState{
		Account: account, Own: e.own, Others: e.others, Lift: e.fleetLift,
		Known: e.known, Waiting: e.waiting > 0, Virtual: e.settled(),
	}
}

// TotalService returns the service that this process gave to all accounts.
func (c *Counters) TotalService() float64 { return c.given }

// Spread returns the difference in virtual service between the most and the
// least served account that wait here, running requests not counted for the
// former; 0 if fewer than two wait.
func (c *Counters) Spread() float64 {
	if len(c.order) < 2 {
		return 0
	}
	return math.Max(0, c.lead[0].settled()-c.order[0].settled())
}

// VisitChanged passes each account whose own service or lift changed since the last
// call, and each that waits here, to visit.
func (c *Counters) VisitChanged(visit func(AccountState)) {
	for account := range c.changed {
		visit(c.State(account))
	}
	for _, e := range c.order {
		if _, seen := c.changed[e.account]; !seen {
			visit(c.State(e.account))
		}
	}
	clear(c.changed)
}

// VisitAll passes each account with service or lift of this process to visit.
func (c *Counters) VisitAll(visit func(AccountState)) {
	for account, e := range c.accounts {
		if e.own > 0 || e.fleetLift > 0 {
			visit(c.State(account))
		}
	}
}

// entry returns the account's entry and makes one if there is none.
func (c *Counters) entry(account string) *entry {
	e, ok := c.accounts[account]
	if !ok {
		e = &entry{account: account, tie: xxhash.Sum64String(account)}
		c.refreshWeight(e)
		c.accounts[account] = e
	}
	return e
}

// refreshWeight reads the account's weight again.
func (c *Counters) refreshWeight(e *entry) {
	e.weight = 1
	if w := c.weight(e.account); w > 0 {
		e.weight = w
	}
}

// moved restores the heaps after an account's service changed.
func (c *Counters) moved(e *entry) {
	if e.waiting > 0 {
		heap.Fix(&c.order, e.orderIndex)
		heap.Fix(&c.lead, e.leadIndex)
	}
}

// levelUp lifts the accounts that trail the most served waiting account by more
// than the credit. The order heap yields the least served ones first, so that
// the cost is that of the lifts made.
func (c *Counters) levelUp() {
	if len(c.lead) == 0 {
		return
	}
	floor := c.lead[0].settled() - c.credit
	for c.order[0].settled() < floor-leastLift {
		e := c.order[0]
		c.lift(e, floor)
		c.moved(e)
	}
}

// lift raises an account's virtual service to floor. A lift is shared through
// the ledger only once the account's fleet-wide total is known: before that it
// would count the unknown part twice.
func (c *Counters) lift(e *entry, floor float64) {
	need := floor - e.settled()
	if need < leastLift {
		return
	}
	if !e.known {
		e.provisional += need
		return
	}
	e.fleetLift += need
	c.changed[e.account] = struct{}{}
}
