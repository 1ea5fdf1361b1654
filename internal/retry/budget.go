// Package retry decides whether a failed request may be tried again, so that
// retries never multiply the load of a fleet that is failing.
package retry

import "time"

// Limits of a budget.
const (
	// Ratio is the number of retries that each request adds to the
	// budget.
	Ratio = 0.1
	// MinPerSecond is the number of retries a second that are allowed however
	// few requests come.
	MinPerSecond = 1.0
	// Burst is the largest number of retries that a budget saves up.
	Burst = 50.0
	// MaxPerRequest is the number of times that one request is tried again.
	MaxPerRequest = 2
)

// Limits are the figures of a budget.
type Limits struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// MinPerSecond is the number of retries a second that are allowed however
	// few requests come.
	MinPerSecond float64
	// Burst is the largest number of retries that are saved up.
	Burst float64
}

// Budget bounds retries to a share of the requests. It is not safe for
// concurrent use.
type Budget struct {
	limits Limits
	saved  float64
	last   time.Time
}

// NewBudget returns a budget with the package's limits that has saved up
// MinPerSecond.
func NewBudget(now time.Time) *Budget {
	return &Budget{limits: Limits{Ratio, MinPerSecond, Burst}, saved: MinPerSecond, last: now}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) {
	b.limits = l
	b.saved = min(b.saved, l.Burst)
}

// Deposit saves up a number of retries, which may be a fraction, as far as the
// limits allow.
func (b *Budget) Deposit(retries float64) { b.saved = min(b.saved+retries, b.limits.Burst) }

// Available reports whether a first retry would be allowed.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.saved >= 1
}

// Request notes a request that arrived, retries excluded.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.saved = min(b.saved+b.limits.Ratio, b.limits.Burst)
}

// Take takes one retry out of the budget for a request that was tried again
// tries times before. It reports false if the request must not be tried again.
func (b *Budget) Take(now time.Time, tries int) bool {
	b.refill(now)
	if tries >= MaxPerRequest || b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// refill adds what the passing of time allows.
func (b *Budget) refill(now time.Time) {
	b.saved = min(b.saved+b.limits.MinPerSecond*max(0, now.Sub(b.last).Seconds()), b.limits.Burst)
	b.last = now
}

// Bounds of the pause before a request is offered again.
const (
	minPause = 10 * time.Millisecond
	maxPause = time.Second
)

// Backoff returns how long a request waits before it is offered again for the
// given time, counted from 0. It doubles each time.
func Backoff(tries int) time.Duration {
	return min(minPause<<min(tries, 10), maxPause)
}
