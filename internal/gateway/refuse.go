package gateway

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// refusal is a refusal with the delay after which the caller may retry.
type refusal struct {
	failure    *errkind.Error
	retryAfter time.Duration
}

// Unwrap returns the error of a known kind.
func (r *refusal) Unwrap() error { return r.failure }

// Error implements error.
func (r *refusal) Error() string { return r.failure.Error() }

// refusalOf returns the error for a decision other than Send.
func refusalOf(x *call, d dispatch.Decision) error {
	if x.mayHaveRun {
		return errkind.New(errkind.OutcomeUnknown, "a target may have run the request and no other is free")
	}
	switch d.Action {
	case dispatch.RefuseNoTarget:
		return &refusal{errkind.New(errkind.NoTarget, "no target may serve the request"), d.RetryAfter}
	case dispatch.RefuseQuarantined:
		return errkind.New(errkind.Quarantined, "part %x of the prompt crashes targets", d.Part)
	case dispatch.RefuseHeld:
		return &refusal{errkind.New(errkind.PartHeld, "part %x of the prompt may crash targets and is being tried", d.Part), d.RetryAfter}
	case dispatch.RefuseFull:
		return &refusal{errkind.New(errkind.QueueFull, "too many requests wait"), retryAfterQueueFull}
	}
	return &refusal{errkind.New(errkind.WaitTimeout, "no target can serve the request in time"), d.RetryAfter}
}

// Delays after which callers may retry.
const (
	// retryAfterQueueFull is for a full queue, which drains within objectives.
	retryAfterQueueFull = 500 * time.Millisecond
	// retryAfterNotReady is for a process that can't serve while others can.
	retryAfterNotReady = 50 * time.Millisecond
	// retryAfterShed is for a process short of processor time; the caller's
	// next connection goes to another process.
	retryAfterShed = 100 * time.Millisecond
	// retryAfterNotRun is for a target that did not run the request.
	retryAfterNotRun = 150 * time.Millisecond
)

// retryAfter returns the delay after which the caller of a failed request may
// retry; 0 if a retry is pointless.
func retryAfter(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.retryAfter
	}
	kind := errkind.Of(err)
	var failure *sendError
	if errors.As(err, &failure) && failure.retryAfter > 0 && kind.Answer().Retryable {
		return failure.retryAfter
	}
	switch {
	case !kind.Answer().Retryable:
		return 0
	case kind == errkind.Draining, kind == errkind.PlatformUnavailable, kind == errkind.NoConfiguration:
		return retryAfterNotReady
	}
	return retryAfterNotRun
}

// retryAfterText returns the value of a Retry-After header.
func retryAfterText(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}

// encodeRefusal returns the header and the body of the gateway's own refusal.
func (g *Gateway) encodeRefusal(x *call, err error) (http.Header, []byte) {
	body := errkind.BodyOf(err)
	after := retryAfter(err)
	body.Error.RetryAfterMS = after.Milliseconds()
	h := make(http.Header)
	g.codec.SetOwnHeaders(h, x.attempt.ID)
	if after > 0 {
		h.Set("Retry-After", retryAfterText(after))
	}
	h.Set("Content-Type", "application/json")
	data, encodeErr := json.Marshal(body)
	if encodeErr != nil {
		g.log.Error(encodeErr, "failed to encode refusal; sent without a body")
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	return h, data
}

// writeRefusal responds with the gateway's own refusal.
func (g *Gateway) writeRefusal(x *call, err error) {
	header, data := g.encodeRefusal(x, err)
	maps.Copy(x.w.Header(), header)
	x.w.WriteHeader(errkind.Of(err).Answer().Status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(data); err != nil {
		g.log.V(1).Info("caller disconnected before its refusal was written", "cause", err.Error())
	}
}
