package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// errEvicted means that a waiting request made room for another account's.
var errEvicted = errors.New("request evicted")

// state is the state of a caller's request at the router.
//
//	waiting:   in its account's queue; no copy of it is at any sidecar
//	handedOut: one sidecar has it, or may have it
//	ended:     answered or refused
//
// Transitions: waiting to handedOut when a claim is granted; handedOut to
// waiting when the sidecar says that it never started and can't start any more,
// or when a request that may be repeated failed before its caller saw any of the
// answer; waiting to ended when the caller has gone, the deadline has passed or
// the router is full of the account's requests, all of which are truly "not
// run" after no hand-out; handedOut to ended when the answer ends or its outcome
// stays unknown.
type state int

const (
	waiting state = iota
	handedOut
	ended
)

// holder is the sidecar that a request was handed to.
type holder struct {
	addr        string
	target      string
	handoutID   string
	incarnation uint64
}

// request is one caller's request. Its fields from state on belong to the
// router's lock.
type request struct {
	// id is what callers and targets see.
	id       string
	account  string
	service  string
	version  string
	work     *zinniaquayv1.WorkRequest
	hint     uint64
	deadline time.Time
	// route tells evidence on a version's answers apart.
	route string

	state state
	// queuedAt is when the request was queued first.
	queuedAt time.Time
	// handouts counts how often the request was handed out.
	handouts int
	// reserved counts the reservations that name this hand-out.
	reserved int
	// retries counts hand-outs that may have run before another one.
	retries int
	// withdrawn says that the request left its queue without a hand-out.
	withdrawn bool
	// evicted is closed when the request makes room for another account's.
	evicted chan struct{}
	// granted carries the holder of each hand-out to the caller's goroutine.
	granted chan holder
}

// handoutID returns the identity of the present hand-out.
func (r *request) handoutID() string { return fmt.Sprintf("%s.%d", r.id, r.handouts) }

// targetID returns the ID that the target sees: the request's own until a
// hand-out may have run, and another one for each later hand-out, so that an
// engine never takes one for the other.
func (r *request) targetID() string {
	if r.retries == 0 {
		return r.id
	}
	return r.handoutID()
}

// reservation returns the reservation of the request at this router.
func (r *request) reservation(routerAddr string) *zinniaquayv1.Reservation {
	return &zinniaquayv1.Reservation{
		RequestId:  r.handoutID(),
		Account:    r.account,
		RouterAddr: routerAddr,
		CostHint:   r.hint,
		Version:    r.version,
	}
}

// handOut moves a waiting request to a sidecar and returns what it is to run.
// The caller holds the router's lock.
func (r *request) handOut(to holder, now time.Time) *zinniaquayv1.WorkRequest {
	r.state = handedOut
	r.work.RequestId = to.handoutID
	r.work.Version = r.version
	r.work.Headers[0].Value = r.targetID()
	r.work.TimeoutMs = r.deadline.Sub(now).Milliseconds()
	r.granted <- to
	return r.work
}

// await waits until the request is handed out.
func (r *request) await(ctx context.Context) (holder, error) {
	select {
	case h := <-r.granted:
		return h, nil
	case <-r.evicted:
		return holder{}, errEvicted
	case <-ctx.Done():
		return holder{}, context.Cause(ctx)
	}
}
