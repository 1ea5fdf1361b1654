package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/upstream"
)

// sendError is the failure of an attempt at one target.
type sendError struct {
	failure *errkind.Error
	// notRun is true if the target certainly did not run the request.
	notRun bool
	// notSent is true if nothing was sent.
	notSent bool
	// retryAfter is when the caller may retry; 0 if only the kind of the failure says so.
	retryAfter time.Duration
}

// Unwrap returns the error of a known kind.
func (e *sendError) Unwrap() error { return e.failure }

// Error implements error.
func (e *sendError) Error() string { return e.failure.Error() }

// Limits of an attempt at one target.
const (
	// responseWaitFactor is the number of objectives that a repeatable request
	// waits for its response to begin before another target is tried.
	responseWaitFactor = 3
	// minResponseWait and maxResponseWait bound that wait; callers of streams
	// disconnect after a pause of a few seconds.
	minResponseWait = 500 * time.Millisecond
	maxResponseWait = 1800 * time.Millisecond
	// deadlineSlack is how long a response is read beyond the deadline that its
	// target was given, so that the target's own timeout response can arrive.
	deadlineSlack = 100 * time.Millisecond
	// maxStaleResponses is the number of responses to other requests that are
	// skipped on one connection.
	maxStaleResponses = 2
	// maxResponseBytes bounds a response that is not a stream.
	maxResponseBytes = 16 << 20
)

// send sends the request to a target and relays the response.
func (g *Gateway) send(x *call, d dispatch.Decision) (dispatch.Outcome, error) {
	conn, err := g.connect(x, d)
	if err != nil {
		if x.ctx.Err() != nil {
			return dispatch.NotSent, g.contextError(x, "connecting")
		}
		return dispatch.Unreachable, &sendError{
			failure: errkind.Wrap(notRunKind(x), errors.Join(errNotSent, err), "the target can't be reached"), notRun: true, notSent: true}
	}
	stop := context.AfterFunc(x.ctx, conn.Abort)
	defer stop()
	outcome, err := g.transfer(x, d, conn)
	if err == nil {
		return outcome, nil
	}
	conn.Discard()
	if x.ctx.Err() != nil && outcome != dispatch.Answered && outcome != dispatch.NotSent {
		return dispatch.Abandoned, g.contextError(x, "the target worked")
	}
	return outcome, err
}

// connect returns a connection for the request. The response to a request without an ID
// is known only on a connection of its own. Whether a target that reports no start has lived
// on is known only by a witness.
func (g *Gateway) connect(x *call, d dispatch.Decision) (*upstream.Conn, error) {
	if !g.views.View().ReportsStart(d.Target) {
		g.pool.EnsureWitness(x.ctx, d.Addr)
	}
	if x.attempt.ID == "" {
		return g.pool.Open(x.ctx, d.Addr)
	}
	return g.pool.Get(x.ctx, d.Addr, !x.repeatable())
}

// notRunKind is the error kind if a target did not run the request: NoTarget
// only as long as no other target may have run it.
func notRunKind(x *call) errkind.Kind {
	if x.mayHaveRun {
		return errkind.OutcomeUnknown
	}
	return errkind.NoTarget
}

// transfer sends the request on a connection and relays the response.
func (g *Gateway) transfer(x *call, d dispatch.Decision, conn *upstream.Conn) (dispatch.Outcome, error) {
	remaining := time.Until(x.deadline)
	if remaining <= 0 {
		return dispatch.NotSent, g.contextError(x, "connecting")
	}
	if wait := g.scheduler.closedFor(d.Target); wait > 0 {
		// The target closed while the request waited for a connection.
		return dispatch.NotSent, &sendError{
			failure: errkind.Wrap(notRunKind(x), errNotSent, "the target is closed for %s", wait), notRun: true, notSent: true}
	}
	header := g.codec.TargetHeaders(x.r.Header, ForwardedRequest{
		Account: x.account.Name, TargetID: d.Target, RemainingTime: remaining, LastEvent: x.relay.lastEventID,
	})
	if err := conn.SetDeadline(x.deadline.Add(deadlineSlack)); err != nil {
		return dispatch.Unreachable, transferError(x, err, "set a deadline")
	}
	x.sentAt, x.targetStarted = time.Now(), 0
	if target := g.views.View().Targets[d.Target]; target != nil {
		x.targetStarted = target.StartedUnixMilli
	}
	ranBefore := x.mayHaveRun
	x.mayHaveRun = true
	bodySent, err := conn.Send(&upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body.Bytes(),
	})
	if err != nil {
		return dispatch.Unreachable, transferError(x, err, "send the request")
	}
	resp, head, err := g.readResponseHead(x, d, conn)
	if err == nil || errors.Is(err, errAnonymous) {
		// Its Retry-After holds whichever request of this gateway the target turned away.
		g.observeClosing(targetProcess{d.Target, d.Addr, x.targetStarted}, head, x.sentAt)
	}
	if errors.Is(err, errAnonymous) && head.NotRun {
		// The target is probably full, but the request may have run.
		return dispatch.NotRun, transferError(x, err, "read the answer")
	}
	if err != nil {
		return dispatch.Unreachable, transferError(x, err, "read the answer")
	}
	g.observeLimit(d, head, x.sentAt)
	defer func() { _ = resp.Body.Close() }() // the connection is pooled or discarded separately
	if head.NotRun {
		x.mayHaveRun = ranBefore
		g.releaseConn(conn, resp, bodySent)
		return dispatch.NotRun, g.turnedAwayError(x, d, resp.StatusCode, head)
	}
	if promisesNotRun(resp.StatusCode) || resp.StatusCode >= http.StatusInternalServerError && g.canRetryElsewhere(x, resp) {
		return dispatch.Failed, transferError(x, fmt.Errorf("status %d", resp.StatusCode), "run the request")
	}
	return g.relayResponse(x, d, conn, resp, head, bodySent)
}

// turnedAwayError returns the error for a target that did not run the request.
func (g *Gateway) turnedAwayError(x *call, d dispatch.Decision, status int, head ResponseHead) error {
	failure := &sendError{failure: errkind.New(notRunKind(x), "the target did not run the request, status %d", status), notRun: true}
	if head.ClosedFor > 0 {
		failure.retryAfter = g.scheduler.retryAfterTurnedAway(d.Request)
	}
	return failure
}

// observeLimit records the request rate that a target names, or that it names none.
func (g *Gateway) observeLimit(d dispatch.Decision, head ResponseHead, sentAt time.Time) {
	if !g.scheduler.observeLimit(d.Target, head, sentAt) {
		return
	}
	g.requestMetrics.limitChanges.Inc(1)
	g.log.Info("target limit changed", "target", d.Target, "limited", head.Limited, "max_per_second", head.MaxPerSecond)
}

// promisesNotRun reports whether callers take a status as a promise that their request
// has not run. Only a target that says so in its headers can give it.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusMisdirectedRequest
}

// canRetryElsewhere reports whether a request that failed at its target can be
// retried at another.
func (g *Gateway) canRetryElsewhere(x *call, _ *http.Response) bool {
	return x.repeatable() && len(x.tried) < x.route.MaxAttempts && time.Until(x.deadline) > minRetryTime &&
		g.retries.hasRetry(x.service)
}

// transferError returns the error for a target that may have run the request.
func transferError(x *call, cause error, during string) error {
	kind := errkind.TargetFailed
	if !x.repeatable() {
		kind = errkind.OutcomeUnknown
	}
	return &sendError{failure: errkind.Wrap(kind, cause, "failed to %s", during)}
}

// errAnonymous means that a response on a connection that carried other requests before
// does not say which one it belongs to.
var errAnonymous = errors.New("the response may belong to an earlier request")

// readResponseHead reads the response header. Some targets send responses
// twice, so responses to other requests are skipped. With errAnonymous, the response
// header is returned as well.
func (g *Gateway) readResponseHead(x *call, d dispatch.Decision, conn *upstream.Conn) (*http.Response, ResponseHead, error) {
	if wait, bounded := x.responseWait(); bounded {
		if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return nil, ResponseHead{}, err
		}
	}
	for range maxStaleResponses + 1 {
		resp, err := conn.ReadResponse(x.r.Method)
		if err != nil {
			return nil, ResponseHead{}, err
		}
		head := g.codec.DecodeResponse(resp.StatusCode, resp.Header)
		g.observeLeaving(targetProcess{d.Target, d.Addr, d.StartedUnixMilli}, head)
		if head.RequestID == "" && x.attempt.ID != "" {
			g.pool.RecordAnonymous(conn)
		}
		if head.RequestID == "" && !conn.OnlyRequest() {
			g.requestMetrics.anonymous.Inc(1)
			return nil, head, fmt.Errorf("%w, status %d", errAnonymous, resp.StatusCode)
		}
		if head.RequestID == x.attempt.ID || head.RequestID == "" {
			return resp, head, conn.SetReadDeadline(x.deadline.Add(deadlineSlack))
		}
		if err := skipBody(resp); err != nil {
			return nil, ResponseHead{}, fmt.Errorf("skip the response to another request: %w", err)
		}
	}
	return nil, ResponseHead{}, errors.New("the connection has only responses to other requests")
}

// responseWait returns how long the request waits for its response to begin
// before another target is tried. It reports false if no other will be tried.
func (x *call) responseWait() (time.Duration, bool) {
	if !x.repeatable() || len(x.tried) >= x.route.MaxAttempts {
		return 0, false
	}
	wait := min(max(minResponseWait, responseWaitFactor*x.route.Objective), maxResponseWait)
	return wait, time.Until(x.deadline) > wait
}

// relayResponse relays the response of the target.
func (g *Gateway) relayResponse(x *call, d dispatch.Decision, conn *upstream.Conn, resp *http.Response, head ResponseHead,
	bodySent <-chan error) (dispatch.Outcome, error) {
	if resp.StatusCode < http.StatusMultipleChoices && !head.Signed {
		return dispatch.Failed, transferError(x, errors.New("the response is not signed"), "run the request")
	}
	isStream := x.route.Stream && resp.StatusCode == http.StatusOK
	if !isStream {
		g.countStart(x)
	}
	if x.relay.headSent && (!isStream || mediaType(resp) != x.relay.mediaType) {
		return dispatch.Failed, transferError(x, fmt.Errorf("%w: status %d, content type %q", errNotResumed, resp.StatusCode,
			mediaType(resp)), "go on with the answer")
	}
	outcome := dispatch.Answered
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = dispatch.Failed
	}
	var err error
	if isStream {
		err = g.relayStream(x, d, conn, resp)
	} else {
		if resp.StatusCode < http.StatusMultipleChoices {
			g.scheduler.responseStarted(d.Request.Sequence)
		}
		err = g.relayBuffered(x, d, conn, resp)
	}
	if err != nil {
		return dispatch.Failed, err
	}
	g.releaseConn(conn, resp, bodySent)
	return outcome, nil
}

// relayBuffered reads a complete response and relays it.
func (g *Gateway) relayBuffered(x *call, d dispatch.Decision, conn *upstream.Conn, resp *http.Response) error {
	body, err := conn.ReadBody(resp, maxResponseBytes)
	if err != nil {
		return transferError(x, err, "read the whole answer")
	}
	length := 0
	for _, part := range body {
		length += len(part)
	}
	if err := g.confirmEnd(x, d, resp, length > 0); err != nil {
		return transferError(x, err, "read the whole answer")
	}
	g.requestMetrics.firstByte.Update(time.Since(x.started).Milliseconds())
	x.relay.recordWrite(x.started, time.Now())
	x.relay.headSent, x.relay.finished = true, true
	h := x.w.Header()
	for name, values := range g.codec.CallerHeaders(resp.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(length))
	x.w.WriteHeader(resp.StatusCode)
	if x.r.Method == http.MethodHead {
		return nil
	}
	for _, part := range body {
		if _, err := x.w.Write(part); err != nil {
			return errkind.Wrap(errkind.Canceled, err, "the caller disconnected before its response")
		}
	}
	return nil
}

// skipBody reads a response to its end. It fails if more than maxResponseBytes are
// left.
func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && n > maxResponseBytes {
		return upstream.ErrResponseTooLarge
	}
	return err
}

// releaseConn returns a connection to the pool if its response was read to the
// end.
func (g *Gateway) releaseConn(conn *upstream.Conn, resp *http.Response, bodySent <-chan error) {
	if err := skipBody(resp); err != nil {
		conn.Discard()
		return
	}
	if bodySent != nil {
		select {
		case err := <-bodySent:
			if err != nil {
				conn.Discard()
				return
			}
		default:
			// Part of the request body is still to be sent on this connection.
			conn.Discard()
			return
		}
	}
	if resp.Close || endsWithConnection(resp) {
		conn.Discard()
		return
	}
	g.pool.Put(conn, resp.Header.Get("Keep-Alive"))
}
