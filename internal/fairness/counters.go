// Package fairness decides which client account is served next.
package fairness

// Counters holds the service that client accounts received, divided by their
// weights. It is not safe for concurrent use.
type Counters struct {
	weight  func(account string) float64
	virtual map[string]float64
}

// New returns counters at zero. weight returns an account's weight, above 0.
func New(weight func(account string) float64) *Counters {
	return &Counters{weight: weight, virtual: make(map[string]float64)}
}

// Pick returns the account with the least weighted service among those that
// wait, or "" if none waits.
func (c *Counters) Pick(waiting []string) string {
	best := ""
	for _, account := range waiting {
		if best == "" || c.virtual[account] < c.virtual[best] {
			best = account
		}
	}
	return best
}

// Charge adds service (tokens or units) to an account.
func (c *Counters) Charge(account string, service float64) {
	c.virtual[account] += service / c.weight(account)
}
