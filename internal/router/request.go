package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// errEvicted means that a waiting request was evicted in favor of another
// account's request.
var errEvicted = errors.New("request evicted")

// state is the state of a caller's request at the router.
//
//	waiting:    in its account's queue; no sidecar has an attempt of it
//	dispatched: one sidecar has an attempt, or may have one
//	ended:      answered or refused
//
// Transitions:
//   - waiting to dispatched: a claim is granted.
//   - dispatched to waiting: the sidecar reports that the attempt never started
//     and can't start any more, or a repeatable request failed before its caller
//     received any part of the response.
//   - waiting to ended: the caller disconnects, the deadline passes, or the
//     request is evicted because the router is full. Unless an earlier attempt
//     may have run, the request is reported as "not run".
//   - dispatched to ended: the response ends, or its outcome stays unknown.
type state int

const (
	waiting state = iota
	dispatched
	ended
)

// assignment identifies an attempt and the sidecar that it was dispatched to.
type assignment struct {
	addr        string
	target      string
	attemptID   string
	incarnation uint64
}

// request is one caller's request. The fields from state on are guarded by
// Router.mu.
type request struct {
	// id is the request ID that callers see, and targets until an attempt may
	// have run.
	id       string
	account  string
	service  string
	version  string
	work     *zinniaquayv1.WorkRequest
	costHint uint64
	deadline time.Time
	// route groups the evidence on a version's responses. See move.RouteOf.
	route string

	state state
	// queuedAt is when the request was first queued.
	queuedAt time.Time
	// attempt is the number of the current or next attempt, from 0.
	attempt int
	// reserved is the number of reservations that name the next attempt.
	reserved int
	// retries is the number of attempts that may have run and were followed by
	// another attempt.
	retries int
	// withdrawn is set if the request ended in its queue and certainly did not
	// run.
	withdrawn bool
	// evicted is closed when the request is evicted in favor of another
	// account's request.
	evicted chan struct{}
	// granted carries each assignment to the caller's goroutine.
	granted chan assignment
}

// attemptID returns the ID of the current or next attempt.
func (r *request) attemptID() string { return fmt.Sprintf("%s.%d", r.id, r.attempt) }

// targetRequestID returns the request ID that the target sees: the request's
// own ID until an attempt may have run, and a different ID for each later
// attempt, so that a target never confuses two attempts.
func (r *request) targetRequestID() string {
	if r.retries == 0 {
		return r.id
	}
	return r.attemptID()
}

// reservation returns a reservation of the request at the router with the
// given address.
func (r *request) reservation(routerAddr string) *zinniaquayv1.Reservation {
	return &zinniaquayv1.Reservation{
		RequestId:  r.attemptID(),
		Account:    r.account,
		RouterAddr: routerAddr,
		CostHint:   r.costHint,
		Version:    r.version,
	}
}

// dispatch assigns a waiting request to a sidecar and returns the work for it.
// The caller must hold Router.mu.
func (r *request) dispatch(to assignment, now time.Time) *zinniaquayv1.WorkRequest {
	r.state = dispatched
	r.work.RequestId = to.attemptID
	r.work.Version = r.version
	r.work.Headers[0].Value = r.targetRequestID()
	r.work.TimeoutMs = r.deadline.Sub(now).Milliseconds()
	r.granted <- to
	return r.work
}

// await waits until the request is dispatched.
func (r *request) await(ctx context.Context) (assignment, error) {
	select {
	case a := <-r.granted:
		return a, nil
	case <-r.evicted:
		return assignment{}, errEvicted
	case <-ctx.Done():
		return assignment{}, context.Cause(ctx)
	}
}
