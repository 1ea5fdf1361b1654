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

// sendError is a failure at one target.
type sendError struct {
	failure *errkind.Error
	// notRun says that the target certainly did not run the request.
	notRun bool
	// notSent says that nothing was sent at all.
	notSent bool
}

// Unwrap returns the error of a known kind.
func (e *sendError) Unwrap() error { return e.failure }

// Error implements error.
func (e *sendError) Error() string { return e.failure.Error() }

// Times of a send.
const (
	// silentFactor is how many objectives a repeatable request waits for its
	// answer to begin before another target is tried.
	silentFactor = 3
	// leastSilence and mostSilence bound that time; callers of streams leave
	// after a pause of a few seconds.
	leastSilence = 500 * time.Millisecond
	mostSilence  = 1800 * time.Millisecond
	// deadlineSlack is how long an answer is read beyond the deadline that its
	// target was given, so that its own time-out can arrive.
	deadlineSlack = 100 * time.Millisecond
	// mostExtra is the number of answers to other requests that are passed over
	// on one connection.
	mostExtra = 2
	// mostPlainBytes bounds an answer that is not a stream.
	mostPlainBytes = 16 << 20
)

// send sends the request to a target and relays the answer.
func (g *Gateway) send(x *call, d dispatch.Decision) (dispatch.Outcome, error) {
	conn, err := g.pool.Get(x.ctx, d.Addr, !x.repeatable())
	if err != nil {
		if x.ctx.Err() != nil {
			return dispatch.Abandoned, g.gaveUp(x, "connecting")
		}
		return dispatch.Unreachable, &sendError{
			errkind.Wrap(unreachableKind(x), errors.Join(errNotSent, err), "the target can't be reached"), true, true}
	}
	stop := context.AfterFunc(x.ctx, conn.Discard)
	defer stop()
	outcome, err := g.transfer(x, d, conn)
	if err == nil {
		return outcome, nil
	}
	conn.Discard()
	if x.ctx.Err() != nil && outcome != dispatch.Answered {
		return dispatch.Abandoned, g.gaveUp(x, "the target worked")
	}
	return outcome, err
}

// unreachableKind is the kind of a failed connection: "not run" only as long as
// no other target may have run the request.
func unreachableKind(x *call) errkind.Kind {
	if x.mayHaveRun {
		return errkind.OutcomeUnknown
	}
	return errkind.NoTarget
}

// transfer sends the request on a connection and relays the answer.
func (g *Gateway) transfer(x *call, d dispatch.Decision, conn *upstream.Conn) (dispatch.Outcome, error) {
	left := time.Until(x.deadline)
	if left <= 0 {
		return dispatch.Abandoned, g.gaveUp(x, "connecting")
	}
	header := g.dialect.TargetHeaders(x.r.Header, ForwardedRequest{
		Account: x.account.Name, TargetID: d.Target, RemainingTime: left, LastEvent: x.relay.lastEvent,
	})
	if err := conn.SetDeadline(x.deadline.Add(deadlineSlack)); err != nil {
		return dispatch.Unreachable, broken(x, err, "set a deadline")
	}
	ranBefore := x.mayHaveRun
	x.mayHaveRun = true
	finished, err := conn.Send(&upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body,
	})
	if err != nil {
		return dispatch.Unreachable, broken(x, err, "send the request")
	}
	resp, head, err := g.readHead(x, conn)
	if err != nil {
		return dispatch.Unreachable, broken(x, err, "read the answer")
	}
	defer func() { _ = resp.Body.Close() }() // the connection's owner decides on its fate
	if head.NotRun {
		x.mayHaveRun = ranBefore
		g.release(conn, resp, finished)
		return dispatch.NotRun, &sendError{errkind.New(unreachableKind(x),
			"the target did not run the request, status %d", resp.StatusCode), true, false}
	}
	if resp.StatusCode >= http.StatusInternalServerError && g.tryElsewhere(x, resp) {
		return dispatch.Failed, broken(x, fmt.Errorf("status %d", resp.StatusCode), "run the request")
	}
	return g.answer(x, d, conn, resp, head, finished)
}

// tryElsewhere reports whether a target's failure is worth another target.
func (g *Gateway) tryElsewhere(x *call, _ *http.Response) bool {
	return x.repeatable() && len(x.tried) < x.route.MaxAttempts && time.Until(x.deadline) > leastLeft &&
		g.retries.some(x.service)
}

// broken returns the error of a target that may have run the request.
func broken(x *call, cause error, during string) error {
	kind := errkind.TargetFailed
	if !x.repeatable() {
		kind = errkind.OutcomeUnknown
	}
	return &sendError{errkind.Wrap(kind, cause, "failed to %s", during), false, false}
}

// readHead reads the head of the answer. Answers to other requests, which some
// targets send twice, are passed over.
func (g *Gateway) readHead(x *call, conn *upstream.Conn) (*http.Response, ResponseHead, error) {
	if wait, bounded := x.silence(); bounded {
		if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return nil, ResponseHead{}, err
		}
	}
	for range mostExtra + 1 {
		resp, err := conn.ReadResponse(x.r.Method)
		if err != nil {
			return nil, ResponseHead{}, err
		}
		head := g.dialect.DecodeResponse(resp.StatusCode, resp.Header)
		if head.RequestID == "" || head.RequestID == x.attempt.ID {
			return resp, head, conn.SetReadDeadline(x.deadline.Add(deadlineSlack))
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ResponseHead{}, fmt.Errorf("pass over the answer of another request: %w", err)
		}
	}
	return nil, ResponseHead{}, errors.New("the connection holds answers of other requests")
}

// silence returns how long the request waits for its answer to begin before
// another target is tried. It reports false if there will be no other.
func (x *call) silence() (time.Duration, bool) {
	if !x.repeatable() || len(x.tried) >= x.route.MaxAttempts {
		return 0, false
	}
	wait := min(max(leastSilence, silentFactor*x.route.Objective), mostSilence)
	return wait, time.Until(x.deadline) > wait
}

// answer relays an answer that the target gave.
func (g *Gateway) answer(x *call, d dispatch.Decision, conn *upstream.Conn, resp *http.Response, head ResponseHead,
	finished <-chan error) (dispatch.Outcome, error) {
	if resp.StatusCode < http.StatusMultipleChoices && !head.Signed {
		return dispatch.Failed, broken(x, errors.New("the answer is not signed"), "run the request")
	}
	isStream := x.route.Stream && resp.StatusCode == http.StatusOK
	if x.relay.begun && !isStream {
		return dispatch.Failed, broken(x, fmt.Errorf("status %d", resp.StatusCode), "go on with the answer")
	}
	outcome := dispatch.Answered
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = dispatch.Failed
	}
	var err error
	if isStream {
		err = g.relayStream(x, d, conn, resp)
	} else {
		g.scheduler.began(d.Request.Sequence)
		err = g.relayPlain(x, resp)
	}
	if err != nil {
		return dispatch.Failed, err
	}
	g.release(conn, resp, finished)
	return outcome, nil
}

// relayPlain reads a whole answer and passes it on.
func (g *Gateway) relayPlain(x *call, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostPlainBytes))
	if err != nil {
		return broken(x, err, "read the whole answer")
	}
	g.counts.firstByte.Update(time.Since(x.started).Milliseconds())
	x.relay.note(x.started, time.Now())
	x.relay.begun, x.relay.closed = true, true
	h := x.w.Header()
	for name, values := range g.dialect.CallerHeaders(resp.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.StatusCode)
	if x.r.Method == http.MethodHead {
		return nil
	}
	if _, err := x.w.Write(body); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "the caller left before its answer")
	}
	return nil
}

// release keeps a connection whose answer was read to its end.
func (g *Gateway) release(conn *upstream.Conn, resp *http.Response, finished <-chan error) {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		conn.Discard()
		return
	}
	if finished != nil {
		select {
		case err := <-finished:
			if err != nil {
				conn.Discard()
				return
			}
		default:
			// The rest of the body is still due on this connection.
			conn.Discard()
			return
		}
	}
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		conn.Discard()
		return
	}
	g.pool.Put(conn, resp.Header.Get("Keep-Alive"))
}
