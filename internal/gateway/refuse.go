package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// refusal is a refusal that states when the caller may come back.
type refusal struct {
	failure *errkind.Error
	after   time.Duration
}

// Unwrap returns the error of a known kind.
func (r *refusal) Unwrap() error { return r.failure }

// Error implements error.
func (r *refusal) Error() string { return r.failure.Error() }

// refusalOf returns the error for a decision not to send.
func refusalOf(x *call, d dispatch.Decision) error {
	if x.mayHaveRun {
		return errkind.New(errkind.OutcomeUnknown, "a target may have run the request and no other is free")
	}
	switch d.Action {
	case dispatch.RefuseNoTarget:
		return &refusal{errkind.New(errkind.NoTarget, "no target may serve the request"), d.RetryAfter}
	case dispatch.RefuseFull:
		return &refusal{errkind.New(errkind.QueueFull, "too many requests wait"), retryFull}
	}
	return &refusal{errkind.New(errkind.WaitTimeout, "no target can serve the request in time"), d.RetryAfter}
}

// Times after which callers may come back.
const (
	// retryFull is for a full queue, which empties within objectives.
	retryFull = 500 * time.Millisecond
	// retryElsewhere is for a process that can't serve while others can.
	retryElsewhere = 50 * time.Millisecond
	// retryShed is for a process without processor time; the caller's next
	// connection leads to another.
	retryShed = 100 * time.Millisecond
	// retryTarget is for a target that did not run the request.
	retryTarget = 150 * time.Millisecond
)

// retryAfter returns when the caller of a failed request may come back; 0 if a
// retry makes no sense.
func retryAfter(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.after
	}
	kind := errkind.Of(err)
	switch {
	case !kind.Answer().Retryable:
		return 0
	case kind == errkind.Draining, kind == errkind.PlatformUnavailable, kind == errkind.NoConfiguration:
		return retryElsewhere
	}
	return retryTarget
}

// refuse answers with the gateway's own refusal.
func (g *Gateway) refuse(x *call, err error) {
	body := errkind.BodyOf(err)
	after := retryAfter(err)
	body.Error.RetryAfterMS = after.Milliseconds()
	h := x.w.Header()
	g.dialect.SetOwnHeaders(h, x.attempt.ID)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "application/json")
	data, encodeErr := json.Marshal(body)
	if encodeErr != nil {
		g.log.Error(encodeErr, "refusal sent without a body")
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	x.w.WriteHeader(errkind.Of(err).Answer().Status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(data); err != nil {
		g.log.V(1).Info("caller left before its refusal", "cause", err.Error())
	}
}
