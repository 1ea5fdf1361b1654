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
	// silenceTimeout is how long an answer may go without chunk or heartbeat
	// before its connection counts as dead.
	silenceTimeout = 1500 * time.Millisecond
	// resumeTimeout is how long a router tries to reach a sidecar that has gone
	// silent before it gives the answer up.
	resumeTimeout = 8 * time.Second
	// resumeEvery is the pause between two tries to resume.
	resumeEvery = 50 * time.Millisecond
	// cancelTimeout bounds the call that stops a request whose caller has gone.
	cancelTimeout = 3 * time.Second
	// tombstoneTimeout bounds the question whether a request has started.
	tombstoneTimeout = 3 * time.Second
)

// errSilent means that a connection went silent.
var errSilent = errors.New("connection went silent")

// callerError means that the caller could not be written to.
type callerError struct{ err error }

// Error implements error.
func (c *callerError) Error() string { return c.err.Error() }

// Unwrap returns the cause.
func (c *callerError) Unwrap() error { return c.err }

// relay passes the answer of a handed-out request on to the caller, over as
// many connections as it takes. If the request may be handed out again, it
// reports so beside the error that the caller hears if it is not.
func (r *Router) relay(ctx context.Context, req *request, h holder, s *sink) (again bool, err error) {
	alive := time.Now()
	for {
		end, err := r.attach(ctx, h, s, &alive)
		var caller *callerError
		switch {
		case end != nil:
			r.releaser.add(h)
			return r.conclude(ctx, req, end, s)
		case errors.As(err, &caller) || ctx.Err() != nil:
			return false, r.giveUp(ctx, h, s, err)
		case connect.CodeOf(err) == connect.CodeNotFound, connect.CodeOf(err) == connect.CodeFailedPrecondition,
			time.Since(alive) > resumeTimeout:
			return r.lost(ctx, req, h, s, err)
		}
		r.opts.Events.Record(timeline.RequestResumed, req.id, fmt.Sprintf("from chunk %d: %v", s.next, err))
		metrics.GetOrRegisterCounter("answers_resumed_total", r.opts.Metrics).Inc(1)
		wait.For(ctx, resumeEvery)
	}
}

// attach reads an answer over one connection and returns its end. It sets alive
// to the time of the last sign of life.
func (r *Router) attach(ctx context.Context, h holder, s *sink, alive *time.Time) (*zinniaquayv1.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	peer := r.opts.Pool.Get(h.addr)
	end, err := readChunks(ctx, peer, h, s, func(c *zinniaquayv1.Chunk) error {
		// A caller who reads slowly must not make the connection look silent.
		watchdog.Stop()
		*alive = time.Now()
		defer watchdog.Reset(silenceTimeout)
		if c.GetPart() == nil {
			return nil
		}
		return s.accept(c)
	})
	if end == nil && errors.Is(context.Cause(ctx), errSilent) {
		r.opts.Pool.Reset(peer)
		return nil, fmt.Errorf("attach: %w", errSilent)
	}
	return end, err
}

// readChunks reads chunks until the one that ends the answer, which it returns.
func readChunks(ctx context.Context, peer *rpc.Peer, h holder, s *sink, accept func(*zinniaquayv1.Chunk) error) (*zinniaquayv1.End, error) {
	stream, err := peer.Sidecar.Attach(ctx, &zinniaquayv1.AttachRequest{
		RequestId:   h.handoutID,
		Incarnation: h.incarnation,
		FromChunk:   s.next,
	})
	if err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	// The stream ends with its context, whatever Close says.
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		chunk := stream.Msg()
		if end := chunk.GetEnd(); end != nil && chunk.GetNumber() == s.next {
			return end, nil
		}
		if err := accept(chunk); err != nil {
			return nil, fmt.Errorf("attach: %w", err)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	return nil, fmt.Errorf("attach: %w", errSilent)
}

// conclude acts on the end of an answer.
func (r *Router) conclude(ctx context.Context, req *request, end *zinniaquayv1.End, s *sink) (again bool, err error) {
	switch {
	case end.GetErrorKind() == "" && s.next > 0:
		return false, s.end()
	case end.GetNotRun() && !s.begun():
		return ctx.Err() == nil, neverRan(ctx, req, errkind.New(errkind.Kind(end.GetErrorKind()), "%s", end.GetMessage()))
	}
	kind := errkind.Kind(end.GetErrorKind())
	if end.GetErrorKind() == "" || kind.Answer().NotRun {
		// The request was offered, so its kind must not say "not run".
		kind = errkind.TargetFailed
	}
	return r.mayHaveRun(ctx, req, s, errkind.New(kind, "%s", end.GetMessage()))
}

// neverRan returns what the caller hears of a request whose last hand-out
// certainly did not run, if it is not handed out again. Where an earlier hand-out
// may have run, the answer does not say "not run".
func neverRan(ctx context.Context, req *request, cause *errkind.Error) error {
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

// mayHaveRun decides what becomes of a request that may have run: one that may
// be repeated is handed out again within the budget of retries, if its caller
// has seen nothing of an answer.
func (r *Router) mayHaveRun(ctx context.Context, req *request, s *sink, cause *errkind.Error) (again bool, err error) {
	if req.work.GetNotRepeatable() {
		return false, begun(s, errkind.Wrap(errkind.OutcomeUnknown, cause, "the request may have run: %s", cause.Message))
	}
	again = !s.begun() && ctx.Err() == nil && cause.Kind == errkind.TargetFailed && r.mayRetry(req)
	return again, begun(s, cause)
}

// begun marks an error that comes after the caller has seen a part of the
// answer, and tells the caller of a stream.
func begun(s *sink, err error) error {
	if !s.begun() {
		return err
	}
	s.fail(err)
	return begunError(err)
}

// lost finds out what became of a request whose sidecar can't be reached or
// does not know it.
func (r *Router) lost(ctx context.Context, req *request, h holder, s *sink, cause error) (again bool, err error) {
	if !s.begun() && r.neverStarted(ctx, h) {
		return ctx.Err() == nil, neverRan(ctx, req, errkind.Wrap(errkind.NoTarget, cause, "the sidecar did not start the request"))
	}
	return r.mayHaveRun(ctx, req, s, errkind.Wrap(errkind.TargetFailed, cause, "the answer was lost on its way"))
}

// neverStarted asks the sidecar to bar a request and reports whether it is
// certain never to start.
func (r *Router) neverStarted(ctx context.Context, h holder) bool {
	ctx, cancel := context.WithTimeout(ctx, tombstoneTimeout)
	defer cancel()
	for {
		res, err := r.opts.Pool.Get(h.addr).Sidecar.Tombstone(ctx, &zinniaquayv1.TombstoneRequest{
			RequestId:   h.handoutID,
			Incarnation: h.incarnation,
		})
		if err == nil {
			return res.GetOutcome() == zinniaquayv1.TombstoneResponse_never_started
		}
		wait.For(ctx, resumeEvery)
		if ctx.Err() != nil {
			return false
		}
	}
}

// giveUp stops a request whose caller has gone or whose deadline has passed.
func (r *Router) giveUp(ctx context.Context, h holder, s *sink, cause error) error {
	deadline := errors.Is(ctx.Err(), context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	for {
		_, err := r.opts.Pool.Get(h.addr).Sidecar.Cancel(ctx, &zinniaquayv1.CancelRequest{RequestId: h.handoutID, Incarnation: h.incarnation})
		if err == nil {
			r.releaser.add(h)
			break
		}
		wait.For(ctx, resumeEvery)
		if ctx.Err() != nil {
			r.opts.Log.Info("request not cancelled", "request", h.handoutID, "err", err.Error())
			break
		}
	}
	if deadline {
		return begun(s, errkind.Wrap(errkind.RunTimeout, cause, "the deadline passed while the request ran"))
	}
	return begun(s, errkind.Wrap(errkind.Canceled, cause, "the caller has gone"))
}
