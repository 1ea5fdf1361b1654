// Package order decides when a sidecar may send its target an order: to load a
// version or to change its role. Its types do no I/O and receive the time as an
// argument; times must come from a monotonic clock.
package order

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/platform"
)

const (
	// LeaseTTL is the lifetime of a sidecar's lease on its target.
	LeaseTTL = 10 * time.Second
	// RenewAfter is the age of a lease at which its holder renews it.
	RenewAfter = LeaseTTL / 3
	// OrderTimeout limits the time from the decision to send an order to the
	// target's response. The call is canceled after it.
	OrderTimeout = 2 * time.Second
	// DriftMargin is added to a wait for a time that another process measures by
	// its own clock. It covers clock rates that differ by one percent.
	DriftMargin = (LeaseTTL + OrderTimeout) / 100
)

// LeaseName returns the name of the lease that a sidecar must hold to send orders
// to a target.
func LeaseName(target string) string { return "orders/" + target }

// Guard decides whether its process may send orders to one target now. It is not
// safe for concurrent use.
//
// A target that checks fencing numbers may be sent orders while the lease is
// valid, since it refuses the number of an earlier holder. A target that ignores
// fencing numbers is protected by time alone. Let t be the time at which the
// platform granted the lease to a new holder. The earlier holder requested its
// last renewal before t. It counts its lease from that request, by its own clock,
// and an order must end before the lease does (OrderTimeout). So none of its
// orders is in flight later than
//
//	t + LeaseTTL
//
// The new holder waits from the platform's response, which comes after t, for
//
//	LeaseTTL + OrderTimeout + DriftMargin
//
// whatever remaining time the platform reported for the earlier lease: the lease
// may have expired on the platform while its holder was suspended.
type Guard struct {
	checksFencing bool
	fencingNumber uint64
	requestedAt   time.Time
	held          bool
	notBefore     time.Time
}

// NewGuard returns a guard without a lease. checksFencing is set if the target
// refuses orders with an old fencing number.
func NewGuard(checksFencing bool) *Guard { return &Guard{checksFencing: checksFencing} }

// LeaseAnswered records the platform's response to a request for the lease, with
// the times of the request and of the response. A failed request is not recorded,
// even if the platform carried it out: the last known lease then expires.
func (g *Guard) LeaseAnswered(requested, answered time.Time, l platform.Lease) {
	if !l.Held {
		g.held = false
		return
	}
	if l.FencingNumber != g.fencingNumber {
		g.fencingNumber = l.FencingNumber
		g.notBefore = answered
		if !g.checksFencing {
			g.notBefore = answered.Add(LeaseTTL + OrderTimeout + DriftMargin)
		}
	}
	g.held = true
	g.requestedAt = requested
}

// RenewDue reports whether the lease should be requested or renewed.
func (g *Guard) RenewDue(now time.Time) bool {
	return !g.held || now.Sub(g.requestedAt) >= RenewAfter
}

// Allowed returns the fencing number for an order that is sent now, or the reason
// why none may be sent. It must be called immediately before each order.
func (g *Guard) Allowed(now time.Time) (number uint64, ok bool, reason string) {
	switch {
	case !g.held:
		return 0, false, "no lease on the target"
	case now.Add(OrderTimeout).After(g.requestedAt.Add(LeaseTTL)):
		return 0, false, "the lease on the target is about to expire"
	case now.Before(g.notBefore):
		return 0, false, "an earlier holder's orders may still be in flight"
	}
	return g.fencingNumber, true, ""
}
