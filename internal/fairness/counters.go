// Package fairness selects the client account whose request starts next at one
// target.
//
// The order is least service first: a virtual token counter per account (Sheng
// et al., "Fairness in Serving Large Language Models", OSDI 2024), extended by
// fleet-wide totals from a ledger. The package does no I/O, starts no goroutine
// and reads no clock.
//
// Service is counted in tokens or units. Virtual service is service divided by
// the account's weight, plus the account's lift. A lift is virtual service that
// is added to an account that trails the most served waiting account by more than
// the credit, so that an account that was idle can't claim all the service that
// it did not use.
package fairness

import (
	"container/heap"
	"math"

	"github.com/cespare/xxhash/v2"
)

// DefaultCredit is the credit, in virtual service, until SetCredit is called.
const DefaultCredit = 65536

// minLift is the smallest virtual service that a lift adds. It keeps rounding
// errors from causing endless lifts.
const minLift = 1

// Counters holds one process's service counters of all client accounts. It is
// not safe for concurrent use.
type Counters struct {
	weight        func(account string) float64
	credit        float64
	accounts      map[string]*entry
	order         orderHeap
	mostServed    mostServedHeap
	startSequence uint64
	costs         meanCost
	changed       map[string]struct{}
	// delivered is the service that this process delivered to all accounts.
	delivered float64
}

// New returns empty counters. weight returns an account's share relative to the
// others; a value that is not above 0 counts as 1.
func New(weight func(account string) float64) *Counters {
	return &Counters{
		weight:   weight,
		credit:   DefaultCredit,
		accounts: make(map[string]*entry),
		changed:  make(map[string]struct{}),
	}
}

// SetCredit sets the virtual service by which an account may trail the most
// served waiting account. It should not be less than Limits.Gap, or accounts
// that were never idle lose service.
func (c *Counters) SetCredit(credit float64) { c.credit = credit }

// AddWaiting counts one more waiting request of the account.
func (c *Counters) AddWaiting(account string) {
	e := c.entry(account)
	e.waiting++
	if e.waiting > 1 {
		return
	}
	c.refreshWeight(e)
	if !e.known && len(c.order) > 0 {
		// Until the ledger's totals arrive, the account starts level with the
		// least served waiting account: neither preferred nor starved.
		e.provisionalLift = math.Max(e.provisionalLift, c.order[0].deliveredVirtual()-e.deliveredVirtual())
	}
	heap.Push(&c.order, e)
	heap.Push(&c.mostServed, e)
	c.liftTrailing()
}

// RemoveWaiting removes one waiting request of the account from the count.
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
	heap.Remove(&c.mostServed, e.mostServedIndex)
}

// Next returns the waiting account whose request starts next: the one with the
// least virtual service, with running requests counted at their estimates. It
// reports false if no account waits.
func (c *Counters) Next() (string, bool) {
	if len(c.order) == 0 {
		return "", false
	}
	c.liftTrailing()
	return c.order[0].account, true
}

// Waiting returns the number of accounts with waiting requests.
func (c *Counters) Waiting() int { return len(c.order) }

// Pick returns the account among the given ones whose request starts next, or ""
// if none is given. It takes time linear in their number and ignores AddWaiting.
// Callers that keep AddWaiting up to date use Next.
func (c *Counters) Pick(waiting []string) string {
	mostServed := math.Inf(-1)
	for _, account := range waiting {
		mostServed = math.Max(mostServed, c.entry(account).deliveredVirtual())
	}
	var best *entry
	for _, account := range waiting {
		e := c.entry(account)
		c.lift(e, mostServed-c.credit)
		if best == nil || e.before(best) {
			best = e
		}
	}
	if best == nil {
		return ""
	}
	return best.account
}

// FleetTotal is an account's state in the ledger.
type FleetTotal struct {
	// Others is the service delivered by other processes.
	Others float64
	// Own is the service of this process that the ledger has recorded.
	Own float64
	// Lift is the account's lift in virtual service.
	Lift float64
	// Reporters is the number of processes that have reported service.
	Reporters int
}

// Merge applies an account's totals from the ledger. Totals and lift never decrease,
// so that repeated and reordered responses are harmless.
func (c *Counters) Merge(account string, fleet FleetTotal) {
	e := c.entry(account)
	e.known = true
	e.provisionalLift = 0
	e.others = math.Max(e.others, fleet.Others)
	e.reportedOwn = math.Max(e.reportedOwn, fleet.Own)
	e.fleetLift = math.Max(e.fleetLift, fleet.Lift)
	e.reporters = max(1, fleet.Reporters)
	c.fixHeaps(e)
	c.liftTrailing()
}

// ReloadWeights reads all weights again, after a change of the configuration.
func (c *Counters) ReloadWeights() {
	for _, e := range c.accounts {
		c.refreshWeight(e)
	}
	heap.Init(&c.order)
	heap.Init(&c.mostServed)
}

// AccountState is the state of one account in this process.
type AccountState struct {
	// Account is the client account.
	Account string
	// Own is the service delivered by this process since its start.
	Own float64
	// Others is the service delivered by other processes, as last reported.
	Others float64
	// Lift is the virtual service added when the account returned from idle.
	Lift float64
	// Known is set once a total of the ledger was merged for the account.
	Known bool
	// Waiting is set while a request of the account waits here.
	Waiting bool
	// Virtual is the virtual service without estimates: running requests count
	// with the service charged so far.
	Virtual float64
}

// State returns the state of an account.
func (c *Counters) State(account string) AccountState {
	e, ok := c.accounts[account]
	if !ok {
		return AccountState{Account: account}
	}
	return AccountState{
		Account: account, Own: e.own, Others: e.others, Lift: e.fleetLift,
		Known: e.known, Waiting: e.waiting > 0, Virtual: e.deliveredVirtual(),
	}
}

// TotalService returns the service that this process delivered to all accounts.
func (c *Counters) TotalService() float64 { return c.delivered }

// Spread returns the difference in virtual service, without estimates, between
// the most served waiting account and the one that starts next; 0 if fewer than
// two accounts wait.
func (c *Counters) Spread() float64 {
	if len(c.order) < 2 {
		return 0
	}
	return math.Max(0, c.mostServed[0].deliveredVirtual()-c.order[0].deliveredVirtual())
}

// VisitChanged calls visit for each account whose own service or lift changed
// since the last call, and for each account with waiting requests.
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

// VisitAll calls visit for each account with own service or a lift.
func (c *Counters) VisitAll(visit func(AccountState)) {
	for account, e := range c.accounts {
		if e.own > 0 || e.fleetLift > 0 {
			visit(c.State(account))
		}
	}
}

// entry returns the account's entry and creates it if there is none.
func (c *Counters) entry(account string) *entry {
	e, ok := c.accounts[account]
	if !ok {
		e = &entry{account: account, tieBreaker: xxhash.Sum64String(account)}
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

// fixHeaps restores the heaps after an account's service changed.
func (c *Counters) fixHeaps(e *entry) {
	if e.waiting > 0 {
		heap.Fix(&c.order, e.orderIndex)
		heap.Fix(&c.mostServed, e.mostServedIndex)
	}
}

// liftTrailing lifts the accounts that trail the most served waiting account by
// more than the credit. It examines only the top of the order heap, so that the
// cost depends only on the number of lifts.
func (c *Counters) liftTrailing() {
	if len(c.mostServed) == 0 {
		return
	}
	floor := c.mostServed[0].deliveredVirtual() - c.credit
	for c.order[0].deliveredVirtual() < floor-minLift {
		e := c.order[0]
		c.lift(e, floor)
		c.fixHeaps(e)
	}
}

// lift raises an account's virtual service to floor. The lift is shared through
// the ledger only if the account's fleet-wide total is known: otherwise the
// still unknown service would count twice.
func (c *Counters) lift(e *entry, floor float64) {
	increase := floor - e.deliveredVirtual()
	if increase < minLift {
		return
	}
	if !e.known {
		e.provisionalLift += increase
		return
	}
	e.fleetLift += increase
	c.changed[e.account] = struct{}{}
}
