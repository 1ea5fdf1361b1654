// Package retry limits the retries of failed requests by a retry budget, so that
// retries never multiply the load of a failing fleet.
package retry

import "time"

// Default limits of a budget, and the limit per request.
const (
	// Ratio is the number of retries that each request adds to the budget.
	Ratio = 0.1
	// MinPerSecond is the number of retries per second that are allowed even
	// without requests.
	MinPerSecond = 1.0
	// Burst is the maximum balance of a budget, in retries.
	Burst = 50.0
	// MaxPerRequest is the maximum number of retries of one request.
	MaxPerRequest = 2
)

// Limits are the limits of a budget.
type Limits struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// MinPerSecond is the number of retries per second that are allowed even
	// without requests.
	MinPerSecond float64
	// Burst is the maximum balance, in retries.
	Burst float64
}

// Budget limits retries to a fraction of the requests. It is a token bucket of
// retries and not safe for concurrent use.
type Budget struct {
	limits     Limits
	balance    float64
	lastRefill time.Time
}

// NewBudget returns a budget with the package's default limits and a balance of
// MinPerSecond.
func NewBudget(now time.Time) *Budget {
	return &Budget{limits: Limits{Ratio, MinPerSecond, Burst}, balance: MinPerSecond, lastRefill: now}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) {
	b.limits = l
	b.balance = min(b.balance, l.Burst)
}

// Deposit adds a number of retries, which may be fractional, to the balance, up to
// the limits' Burst.
func (b *Budget) Deposit(retries float64) { b.balance = min(b.balance+retries, b.limits.Burst) }

// Available reports whether a request's first retry would be allowed.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.balance >= 1
}

// Request records a new request. Retries don't count as requests.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+b.limits.Ratio, b.limits.Burst)
}

// Take takes one retry out of the budget for a request that was retried the given
// number of times before. It reports false if the request must not be retried.
func (b *Budget) Take(now time.Time, retries int) bool {
	b.refill(now)
	if retries >= MaxPerRequest || b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refill adds the retries that the time since the last refill allows.
func (b *Budget) refill(now time.Time) {
	b.balance = min(b.balance+b.limits.MinPerSecond*max(0, now.Sub(b.lastRefill).Seconds()), b.limits.Burst)
	b.lastRefill = now
}

// Bounds of the exponential backoff.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff returns the delay before the given retry, counted from 0. It doubles with
// each retry, up to maxBackoff.
func Backoff(retries int) time.Duration {
	return min(minBackoff<<min(retries, 10), maxBackoff)
}
