package sidecar

import (
	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// maxReservations bounds the reservations that one sidecar holds.
const maxReservations = 16384

// reservations holds the reservations of waiting requests: a queue for each
// client account, in order of arrival. It is not safe for concurrent use.
type reservations struct {
	byAccount map[string][]*zinniaquayv1.Reservation
	ids       map[string]struct{}
}

// newReservations returns an empty set.
func newReservations() *reservations {
	return &reservations{
		byAccount: make(map[string][]*zinniaquayv1.Reservation),
		ids:       make(map[string]struct{}),
	}
}

// add appends a reservation. It reports false if the set is full; a request
// that is there already counts as taken.
func (r *reservations) add(res *zinniaquayv1.Reservation) bool {
	if _, ok := r.ids[res.GetRequestId()]; ok {
		return true
	}
	if len(r.ids) >= maxReservations {
		return false
	}
	r.ids[res.GetRequestId()] = struct{}{}
	r.byAccount[res.GetAccount()] = append(r.byAccount[res.GetAccount()], res)
	return true
}

// accounts returns the accounts that have reservations.
func (r *reservations) accounts() []string {
	names := make([]string, 0, len(r.byAccount))
	for name := range r.byAccount {
		names = append(names, name)
	}
	return names
}

// pop removes and returns the oldest reservation of an account that has one.
func (r *reservations) pop(account string) *zinniaquayv1.Reservation {
	queue := r.byAccount[account]
	head := queue[0]
	delete(r.ids, head.GetRequestId())
	if len(queue) == 1 {
		delete(r.byAccount, account)
	} else {
		r.byAccount[account] = queue[1:]
	}
	return head
}

// len returns the number of reservations.
func (r *reservations) len() int { return len(r.ids) }
