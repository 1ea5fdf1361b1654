package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// heartbeatTimeout is how long a response may go without a chunk or
	// heartbeat before its connection is considered dead.
	heartbeatTimeout = 1500 * time.Millisecond
	// resumeTimeout is how long a router tries to reach a sidecar that stopped
	// sending before it gives up on the response.
	resumeTimeout = 8 * time.Second
	// resumeInterval is the pause between two attempts to resume a response.
	resumeInterval = 50 * time.Millisecond
	// cancelTimeout limits the cancellation of a request whose caller
	// disconnected or whose deadline passed, retries included.
	cancelTimeout = 3 * time.Second
	// tombstoneTimeout limits the tombstoning of a request, retries included.
	tombstoneTimeout = 3 * time.Second
)

// errStreamInterrupted means that a response stream carried no chunk or
// heartbeat within heartbeatTimeout, or ended before the end of the response.
var errStreamInterrupted = errors.New("response stream interrupted")

// callerError means that a write to the caller failed.
type callerError struct{ err error }

// Error implements error.
func (c *callerError) Error() string { return c.err.Error() }

// Unwrap returns the cause.
func (c *callerError) Unwrap() error { return c.err }

// relay forwards the response of a dispatched request to the caller, over as
// many connections as necessary. If the request may be dispatched again,
// requeue is true and err is the error to return to the caller if it is not.
func (r *Router) relay(ctx context.Context, req *request, a assignment, s *sink) (requeue bool, err error) {
	lastReceived := time.Now()
	for {
		end, err := r.attach(ctx, a, s, &lastReceived)
		var caller *callerError
		switch {
		case end != nil:
			r.releaser.add(a)
			return r.handleEnd(ctx, req, end, s)
		case errors.As(err, &caller) || ctx.Err() != nil:
			return false, r.cancelAttempt(ctx, a, s, err)
		case connect.CodeOf(err) == connect.CodeNotFound, connect.CodeOf(err) == connect.CodeFailedPrecondition,
			time.Since(lastReceived) > resumeTimeout:
			return r.handleLostResponse(ctx, req, a, s, err)
		}
		r.opts.Events.Record(timeline.RequestResumed, req.id, fmt.Sprintf("from chunk %d: %v", s.nextChunk, err))
		metrics.GetOrRegisterCounter("answers_resumed_total", r.opts.Metrics).Inc(1)
		wait.For(ctx, resumeInterval)
	}
}

// attach reads a response over one connection and returns its end. It sets
// lastReceived to the time of the last chunk or heartbeat.
func (r *Router) attach(ctx context.Context, a assignment, s *sink, lastReceived *time.Time) (*zinniaquayv1.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(heartbeatTimeout, func() { cancel(errStreamInterrupted) })
	defer watchdog.Stop()
	peer := r.opts.Pool.Get(a.addr)
	end, err := readChunks(ctx, peer, a, s, func(c *zinniaquayv1.Chunk) error {
		// Writing to a slow caller must not count as silence of the sidecar.
		watchdog.Stop()
		*lastReceived = time.Now()
		defer watchdog.Reset(heartbeatTimeout)
		if c.GetPart() == nil {
			return nil
		}
		return s.accept(c)
	})
	if end == nil && errors.Is(context.Cause(ctx), errStreamInterrupted) {
		r.opts.Pool.Reset(peer)
		return nil, fmt.Errorf("attach: %w", errStreamInterrupted)
	}
	return end, err
}

// readChunks reads chunks until the one that ends the response, which it
// returns.
func readChunks(ctx context.Context, peer *rpc.Peer, a assignment, s *sink, accept func(*zinniaquayv1.Chunk) error) (*zinniaquayv1.End, error) {
	stream, err := peer.Sidecar.Attach(ctx, &zinniaquayv1.AttachRequest{
		RequestId:   a.attemptID,
		Incarnation: a.incarnation,
		FromChunk:   s.nextChunk,
	})
	if err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	// The stream ends with its context, even if Close fails.
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		chunk := stream.Msg()
		if end := chunk.GetEnd(); end != nil && chunk.GetNumber() == s.nextChunk {
			return end, nil
		}
		if err := accept(chunk); err != nil {
			return nil, fmt.Errorf("attach: %w", err)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	return nil, fmt.Errorf("attach: %w", errStreamInterrupted)
}

// handleEnd handles the end of a response.
func (r *Router) handleEnd(ctx context.Context, req *request, end *zinniaquayv1.End, s *sink) (requeue bool, err error) {
	switch {
	case end.GetErrorKind() == "" && s.nextChunk > 0:
		return false, s.finish()
	case end.GetNotRun() && !s.started():
		return ctx.Err() == nil, notRunError(ctx, req, errkind.New(errkind.Kind(end.GetErrorKind()), "%s", end.GetMessage()))
	}
	kind := errkind.Kind(end.GetErrorKind())
	if end.GetErrorKind() == "" || kind.Answer().NotRun {
		// The request was sent to the target, so the kind must not state "not
		// run".
		kind = errkind.TargetFailed
	}
	return r.handlePossiblyRun(ctx, req, s, errkind.New(kind, "%s", end.GetMessage()))
}

// notRunError returns the error for the caller of a request whose last attempt
// certainly did not run, for the case that it is not dispatched again. If an
// earlier attempt may have run, the error does not state "not run".
func notRunError(ctx context.Context, req *request, cause *errkind.Error) error {
	switch {
	case req.retries > 0:
		return errkind.Wrap(errkind.TargetFailed, cause, "the target failed and no other took the request")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.WaitTimeout, cause, "the request did not start before its deadline")
	case !cause.Kind.Answer().NotRun:
		return errkind.Wrap(errkind.NoTarget, cause, "the target did not take the request")
	}
	return cause
}

// handlePossiblyRun decides whether a request that may have run is dispatched
// again. This requires that the request is repeatable, that the caller has
// received no part of a response, and that the retry budget allows it.
func (r *Router) handlePossiblyRun(ctx context.Context, req *request, s *sink, cause *errkind.Error) (requeue bool, err error) {
	if req.work.GetNotRepeatable() {
		return false, endWithError(s, errkind.Wrap(errkind.OutcomeUnknown, cause, "the request may have run: %s", cause.Message))
	}
	requeue = !s.started() && ctx.Err() == nil && cause.Kind == errkind.TargetFailed && r.takeRetry(req)
	return requeue, endWithError(s, cause)
}

// endWithError returns the error that ends a request. If the caller has
// received part of the response, it marks the error and writes it to an event
// stream.
func endWithError(s *sink, err error) error {
	if !s.started() {
		return err
	}
	s.sendError(err)
	return startedError(err)
}

// handleLostResponse determines the outcome of a request whose sidecar is
// unreachable or has no record of it.
func (r *Router) handleLostResponse(ctx context.Context, req *request, a assignment, s *sink, cause error) (requeue bool, err error) {
	if !s.started() && r.tombstone(ctx, a) {
		return ctx.Err() == nil, notRunError(ctx, req, errkind.Wrap(errkind.NoTarget, cause, "the sidecar did not start the request"))
	}
	return r.handlePossiblyRun(ctx, req, s, errkind.Wrap(errkind.TargetFailed, cause, "the answer was lost on its way"))
}

// tombstone asks the sidecar to prevent a request from starting, and reports
// whether it is certain that the request never starts.
func (r *Router) tombstone(ctx context.Context, a assignment) bool {
	ctx, cancel := context.WithTimeout(ctx, tombstoneTimeout)
	defer cancel()
	for {
		res, err := r.opts.Pool.Get(a.addr).Sidecar.Tombstone(ctx, &zinniaquayv1.TombstoneRequest{
			RequestId:   a.attemptID,
			Incarnation: a.incarnation,
		})
		if err == nil {
			return res.GetOutcome() == zinniaquayv1.TombstoneResponse_never_started
		}
		wait.For(ctx, resumeInterval)
		if ctx.Err() != nil {
			return false
		}
	}
}

// cancelAttempt cancels an attempt whose caller disconnected or whose deadline
// passed, and returns the error that ends the request.
func (r *Router) cancelAttempt(ctx context.Context, a assignment, s *sink, cause error) error {
	deadline := errors.Is(ctx.Err(), context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	for {
		_, err := r.opts.Pool.Get(a.addr).Sidecar.Cancel(ctx, &zinniaquayv1.CancelRequest{RequestId: a.attemptID, Incarnation: a.incarnation})
		if err == nil {
			r.releaser.add(a)
			break
		}
		wait.For(ctx, resumeInterval)
		if ctx.Err() != nil {
			r.opts.Log.Info("request not cancelled", "request", a.attemptID, "err", err.Error())
			break
		}
	}
	if deadline {
		return endWithError(s, errkind.Wrap(errkind.RunTimeout, cause, "the deadline passed while the request ran"))
	}
	return endWithError(s, errkind.Wrap(errkind.Canceled, cause, "the caller has gone"))
}
