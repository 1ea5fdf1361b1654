package gateway

import (
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/retry"
)

// retryBudgets bounds second sends, a budget for each service. It is safe for
// concurrent use.
type retryBudgets struct {
	bounds Bounds

	mu      sync.Mutex
	members int
	budgets map[string]*retry.Budget
}

const (
	// retryCaution is the part of the fleet's bound that is used: clients' own
	// repeats of refused requests make windows uneven.
	retryCaution = 0.7
	// fewestMembers is the size of the fleet that a process assumes which knows
	// of fewer.
	fewestMembers = 4
)

func newRetryBudgets(b Bounds) *retryBudgets {
	return &retryBudgets{bounds: b, members: fewestMembers, budgets: make(map[string]*retry.Budget)}
}

// setMembers divides the fleet's bound between its members.
func (r *retryBudgets) setMembers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = max(n, fewestMembers)
	for _, b := range r.budgets {
		b.SetLimits(r.limits())
	}
}

// limits returns this process's part of the fleet's bound.
func (r *retryBudgets) limits() retry.Limits {
	return retry.Limits{Ratio: r.bounds.RetryRatio * retryCaution, Burst: max(1, r.slack())}
}

// slack returns this process's part of the second sends that are allowed
// whatever the number of requests; below one in large fleets.
func (r *retryBudgets) slack() float64 {
	return r.bounds.RetrySlack * retryCaution / float64(r.members)
}

func (r *retryBudgets) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(time.Now())
		b.SetLimits(retry.Limits{})
		b.SetLimits(r.limits())
		b.Deposit(r.slack())
		r.budgets[service] = b
	}
	return b
}

// request notes a request for a service.
func (r *retryBudgets) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(time.Now())
}

// take takes a second send out of a service's budget.
func (r *retryBudgets) take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Take(time.Now(), 0)
}

// some reports whether take would succeed.
func (r *retryBudgets) some(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Available(time.Now())
}
