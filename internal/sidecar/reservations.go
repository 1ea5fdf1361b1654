package sidecar

import (
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
)

const (
	// maxReservations is the maximum number of reservations that one sidecar
	// holds.
	maxReservations = 16384
	// reservationTTL is how long a reservation is kept that its router has not
	// renewed. Routers renew reservations more often.
	reservationTTL = 30 * time.Second
)

// heldReservation is a reservation held by the sidecar.
type heldReservation struct {
	*zinniaquayv1.Reservation
	// number orders reservations by arrival.
	number     uint64
	receivedAt time.Time
}

// reservations holds the reservations of waiting requests: a queue for each
// client account, in order of arrival. It keeps the counters' waiting accounts
// up to date. It is not safe for concurrent use.
type reservations struct {
	counters  *fairness.Counters
	byAccount map[string][]heldReservation
	ids       map[string]struct{}
	number    uint64
	// claiming counts the pending claims.
	claiming map[source]int
}

// source identifies where reservations come from.
type source struct{ account, router string }

// sourceOf returns the source of a reservation.
func sourceOf(r *zinniaquayv1.Reservation) source { return source{r.GetAccount(), r.GetRouterAddr()} }

// newReservations returns an empty set.
func newReservations(c *fairness.Counters) *reservations {
	return &reservations{
		counters:  c,
		byAccount: make(map[string][]heldReservation),
		ids:       make(map[string]struct{}),
		claiming:  make(map[source]int),
	}
}

// add appends a reservation. It reports false if the set is full. A request
// that already has a reservation counts as added.
func (r *reservations) add(now time.Time, res *zinniaquayv1.Reservation) bool {
	if _, ok := r.ids[res.GetRequestId()]; ok {
		return true
	}
	if len(r.ids) >= maxReservations {
		return false
	}
	r.number++
	r.ids[res.GetRequestId()] = struct{}{}
	r.byAccount[res.GetAccount()] = append(r.byAccount[res.GetAccount()], heldReservation{res, r.number, now})
	r.counters.AddWaiting(res.GetAccount())
	return true
}

// next removes and returns the oldest reservation of the account that is next
// in fair-share order. It reports false if there is none.
func (r *reservations) next() (heldReservation, bool) {
	account, ok := r.counters.Next()
	if !ok {
		return heldReservation{}, false
	}
	head := r.byAccount[account][0]
	r.byAccount[account] = r.byAccount[account][1:]
	if len(r.byAccount[account]) == 0 {
		delete(r.byAccount, account)
	}
	delete(r.ids, head.GetRequestId())
	r.counters.RemoveWaiting(account)
	return head, true
}

// beginClaim records the start of a claim and returns how many other
// reservations of the same source are held or being claimed.
func (r *reservations) beginClaim(res *zinniaquayv1.Reservation) int {
	src := sourceOf(res)
	others := r.claiming[src]
	r.claiming[src]++
	for _, h := range r.byAccount[src.account] {
		if h.GetRouterAddr() == src.router {
			others++
		}
	}
	return others
}

// endClaim records the end of a claim.
func (r *reservations) endClaim(res *zinniaquayv1.Reservation) {
	src := sourceOf(res)
	r.claiming[src]--
	if r.claiming[src] <= 0 {
		delete(r.claiming, src)
	}
}

// drop removes the reservations of an account from a router, up to the given
// number. It is used when the router reports that they are gone.
func (r *reservations) drop(account, router string, number uint64) {
	r.filter(account, func(h heldReservation) bool { return h.GetRouterAddr() != router || h.number > number })
}

// dropRouter removes all reservations from a router, up to the given number.
func (r *reservations) dropRouter(router string, number uint64) {
	for account := range r.byAccount {
		r.drop(account, router, number)
	}
}

// expire removes the reservations that have not been renewed for
// reservationTTL.
func (r *reservations) expire(now time.Time) {
	for account := range r.byAccount {
		r.filter(account, func(h heldReservation) bool { return now.Sub(h.receivedAt) <= reservationTTL })
	}
}

// filter removes the reservations of an account for which keep returns false.
func (r *reservations) filter(account string, keep func(heldReservation) bool) {
	queue := r.byAccount[account]
	kept := queue[:0]
	for _, h := range queue {
		if keep(h) {
			kept = append(kept, h)
			continue
		}
		delete(r.ids, h.GetRequestId())
		r.counters.RemoveWaiting(account)
	}
	clear(queue[len(kept):])
	r.byAccount[account] = kept
	if len(kept) == 0 {
		delete(r.byAccount, account)
	}
}

// lastNumber returns the number of the newest reservation.
func (r *reservations) lastNumber() uint64 { return r.number }

// len returns the number of reservations.
func (r *reservations) len() int { return len(r.ids) }
