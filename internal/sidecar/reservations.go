package sidecar

import (
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
)

const (
	// maxReservations bounds the reservations that one sidecar holds.
	maxReservations = 16384
	// reservationLife is how long a reservation is kept that the router has not
	// renewed. Routers renew theirs more often.
	reservationLife = 30 * time.Second
)

// held is one reservation at the sidecar.
type held struct {
	*zinniaquayv1.Reservation
	// number orders reservations by arrival.
	number uint64
	at     time.Time
}

// reservations holds the reservations of waiting requests: a queue for each
// client account, in order of arrival. It tells the counters which accounts
// wait. It is not safe for concurrent use.
type reservations struct {
	counters  *fairness.Counters
	byAccount map[string][]held
	ids       map[string]struct{}
	number    uint64
	// claiming counts the claims under way.
	claiming map[source]int
}

// source is where reservations come from.
type source struct{ account, router string }

// sourceOf returns where a reservation came from.
func sourceOf(r *zinniaquayv1.Reservation) source { return source{r.GetAccount(), r.GetRouterAddr()} }

// newReservations returns an empty set.
func newReservations(c *fairness.Counters) *reservations {
	return &reservations{
		counters:  c,
		byAccount: make(map[string][]held),
		ids:       make(map[string]struct{}),
		claiming:  make(map[source]int),
	}
}

// add appends a reservation. It reports false if the set is full; a request
// that is there already counts as taken.
func (r *reservations) add(now time.Time, res *zinniaquayv1.Reservation) bool {
	if _, ok := r.ids[res.GetRequestId()]; ok {
		return true
	}
	if len(r.ids) >= maxReservations {
		return false
	}
	r.number++
	r.ids[res.GetRequestId()] = struct{}{}
	r.byAccount[res.GetAccount()] = append(r.byAccount[res.GetAccount()], held{res, r.number, now})
	r.counters.AddWaiting(res.GetAccount())
	return true
}

// next removes and returns the oldest reservation of the account that is due.
// It reports false if there is none.
func (r *reservations) next() (held, bool) {
	account, ok := r.counters.Next()
	if !ok {
		return held{}, false
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

// claims notes that a claim of a reservation begins, and returns how many others
// of the same source are held or claimed.
func (r *reservations) claims(res *zinniaquayv1.Reservation) int {
	from := sourceOf(res)
	others := r.claiming[from]
	r.claiming[from]++
	for _, h := range r.byAccount[from.account] {
		if h.GetRouterAddr() == from.router {
			others++
		}
	}
	return others
}

// claimed notes that a claim has ended.
func (r *reservations) claimed(res *zinniaquayv1.Reservation) {
	from := sourceOf(res)
	r.claiming[from]--
	if r.claiming[from] <= 0 {
		delete(r.claiming, from)
	}
}

// drop removes the reservations of an account from a router that arrived up to
// a number: the router says that they are gone.
func (r *reservations) drop(account, router string, number uint64) {
	r.filter(account, func(h held) bool { return h.GetRouterAddr() != router || h.number > number })
}

// dropRouter removes the reservations from a router that arrived up to a number.
func (r *reservations) dropRouter(router string, number uint64) {
	for account := range r.byAccount {
		r.drop(account, router, number)
	}
}

// expire removes the reservations that have not been renewed.
func (r *reservations) expire(now time.Time) {
	for account := range r.byAccount {
		r.filter(account, func(h held) bool { return now.Sub(h.at) <= reservationLife })
	}
}

// filter keeps the reservations of an account that keep admits.
func (r *reservations) filter(account string, keep func(held) bool) {
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

// last returns the number of the newest reservation.
func (r *reservations) last() uint64 { return r.number }

// len returns the number of reservations.
func (r *reservations) len() int { return len(r.ids) }
