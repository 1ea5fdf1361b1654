// Package order decides when a sidecar may give its target an order: to load a
// version or to change its role. Its types do no I/O and have the time passed
// in; times must come from a monotonic clock.
package order

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/platform"
)

const (
	// LeaseTTL is how long a sidecar's lease on its target lasts.
	LeaseTTL = 10 * time.Second
	// RenewAfter is the age of a lease at which its holder renews it.
	RenewAfter = LeaseTTL / 3
	// OrderTimeout is how long giving an order may take, from the decision to the
	// target's answer. The call is broken off after it.
	OrderTimeout = 2 * time.Second
	// DriftMargin is added to a wait for another process's clock: two clocks
	// that run at rates a hundredth apart differ by less over the wait.
	DriftMargin = (LeaseTTL + OrderTimeout) / 100
)

// LeaseName returns the name of the lease under which orders to a target are
// given.
func LeaseName(target string) string { return "orders/" + target }

// Guard says whether its process may give orders to one target now. It is not
// safe for concurrent use.
//
// To a target that checks fencing numbers an order may go out while the lease
// lasts; the target refuses the number of an earlier holder. A target that
// ignores them is protected by time alone. Be t the moment at which the platform
// gave the lease to a new holder. The earlier holder asked for its last renewal
// before t, and by its own clock, counted from the asking, gives no order that
// could still be under way later than
//
//	t + LeaseTTL
//
// because every order must fit before its lease's end (OrderTimeout). The new holder
// waits from the platform's answer, which comes after t, for
//
//	LeaseTTL + OrderTimeout + DriftMargin
//
// whatever the platform said of the time that the earlier lease had left: it may
// have lapsed on the platform while its holder was paused.
type Guard struct {
	checksFencing bool
	number        uint64
	askedAt       time.Time
	held          bool
	notBefore     time.Time
}

// NewGuard returns a guard without a lease. ChecksFencing says whether the
// target refuses an order with an old fencing number.
func NewGuard(checksFencing bool) *Guard { return &Guard{checksFencing: checksFencing} }

// LeaseAnswered enters the platform's answer to a call for the lease: when the call
// was made, when its answer came, and what it said. A failed call is not
// entered, whatever it did on the platform: the lease known last runs out.
func (g *Guard) LeaseAnswered(asked, answered time.Time, l platform.Lease) {
	if !l.Held {
		g.held = false
		return
	}
	if l.FencingNumber != g.number {
		g.number = l.FencingNumber
		g.notBefore = answered
		if !g.checksFencing {
			g.notBefore = answered.Add(LeaseTTL + OrderTimeout + DriftMargin)
		}
	}
	g.held = true
	g.askedAt = asked
}

// RenewDue reports whether the lease should be asked for.
func (g *Guard) RenewDue(now time.Time) bool {
	return !g.held || now.Sub(g.askedAt) >= RenewAfter
}

// Allowed returns the fencing number for an order that is given now, or why none may
// be given. It must be called right before the order goes out, and again for
// each order.
func (g *Guard) Allowed(now time.Time) (number uint64, ok bool, why string) {
	switch {
	case !g.held:
		return 0, false, "no lease on the target"
	case now.Add(OrderTimeout).After(g.askedAt.Add(LeaseTTL)):
		return 0, false, "the lease on the target is about to run out"
	case now.Before(g.notBefore):
		return 0, false, "an earlier holder's orders may still be under way"
	}
	return g.number, true, ""
}
