package gateway

import (
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/retry"
)

// retryBudgets bounds retries, with one budget for each service. It is safe for
// concurrent use.
type retryBudgets struct {
	bounds Bounds

	mu          sync.Mutex
	memberCount int
	budgets     map[string]*retry.Budget
}

const (
	// usableBoundFraction is the fraction of the fleet's bound that is used,
	// since clients' own retries of refused requests make the load uneven
	// between windows.
	usableBoundFraction = 0.7
	// minMembers is the fleet size that a process assumes while it has fewer
	// members in its view.
	minMembers = 4
)

func newRetryBudgets(b Bounds) *retryBudgets {
	return &retryBudgets{bounds: b, memberCount: minMembers, budgets: make(map[string]*retry.Budget)}
}

// setMemberCount divides the fleet's bound between n members.
func (r *retryBudgets) setMemberCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memberCount = max(n, minMembers)
	for _, b := range r.budgets {
		b.SetLimits(r.limits())
	}
}

// limits returns this process's share of the fleet's bound.
func (r *retryBudgets) limits() retry.Limits {
	return retry.Limits{Ratio: r.bounds.RetryRatio * usableBoundFraction, Burst: max(1, r.burst())}
}

// burst returns this process's share of the retries that are allowed regardless
// of the number of requests; below one in large fleets.
func (r *retryBudgets) burst() float64 {
	return r.bounds.RetrySlack * usableBoundFraction / float64(r.memberCount)
}

func (r *retryBudgets) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(time.Now())
		b.SetLimits(retry.Limits{})
		b.SetLimits(r.limits())
		b.Deposit(r.burst())
		r.budgets[service] = b
	}
	return b
}

// recordRequest adds a request to a service's budget.
func (r *retryBudgets) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(time.Now())
}

// takeRetry takes a retry from a service's budget. It reports false if there is
// none.
func (r *retryBudgets) takeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Take(time.Now(), 0)
}

// hasRetry reports whether takeRetry would succeed.
func (r *retryBudgets) hasRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Available(time.Now())
}
