package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
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
	cancelTimeout = 2 * time.Second
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
// many connections as it takes. It reports whether the request certainly did
// not start and waits again.
func (r *Router) relay(ctx context.Context, req *request, h holder, s *sink) (again bool, err error) {
	reached := time.Now()
	for {
		before := s.next
		end, err := r.attach(ctx, h, s)
		var caller *callerError
		switch {
		case end != nil:
			return r.conclude(ctx, req, end, s)
		case errors.As(err, &caller) || ctx.Err() != nil:
			return false, r.giveUp(ctx, h, s, err)
		case connect.CodeOf(err) == connect.CodeNotFound, connect.CodeOf(err) == connect.CodeFailedPrecondition:
			return r.lost(ctx, req, h, s, err)
		}
		if s.next > before {
			reached = time.Now()
		}
		if time.Since(reached) > resumeTimeout {
			return r.lost(ctx, req, h, s, err)
		}
		pause(ctx, resumeEvery)
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// attach reads an answer over one connection and returns its end.
func (r *Router) attach(ctx context.Context, h holder, s *sink) (*zinniaquayv1.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	peer := r.opts.Pool.Get(h.addr)
	end, err := readChunks(ctx, peer, h, s, func() { watchdog.Reset(silenceTimeout) })
	if errors.Is(context.Cause(ctx), errSilent) {
		r.opts.Pool.Reset(peer)
		return end, fmt.Errorf("attach: %w", errSilent)
	}
	return end, err
}

// readChunks reads chunks into the sink until the answer ends.
func readChunks(ctx context.Context, peer *rpc.Peer, h holder, s *sink, alive func()) (*zinniaquayv1.End, error) {
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
		alive()
		chunk := stream.Msg()
		if chunk.GetEnd() != nil {
			return chunk.GetEnd(), nil
		}
		if chunk.GetPart() == nil {
			continue
		}
		if err := s.accept(chunk); err != nil {
			return nil, &callerError{err: err}
		}
	}
	if err := stream.Err(); err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	return nil, fmt.Errorf("attach: %w", errSilent)
}

// conclude acts on the end of an answer.
func (r *Router) conclude(ctx context.Context, req *request, end *zinniaquayv1.End, s *sink) (again bool, err error) {
	if end.GetErrorKind() == "" {
		return false, nil
	}
	if end.GetNotRun() && !s.begun() && ctx.Err() == nil {
		return true, nil
	}
	kind := errkind.Kind(end.GetErrorKind())
	if req.work.GetNotRepeatable() && !end.GetNotRun() {
		kind = errkind.OutcomeUnknown
	}
	return false, begun(s, errkind.New(kind, "%s", end.GetMessage()))
}

// begun marks an error that comes after the caller has seen a part of the
// answer, and makes it certain that no such error says "not run".
func begun(s *sink, err error) error {
	if !s.begun() {
		return err
	}
	return fmt.Errorf("%w: %w", errAnswerBegun, err)
}

// lost finds out what became of a request whose sidecar can't be reached or
// does not know it.
func (r *Router) lost(ctx context.Context, req *request, h holder, s *sink, cause error) (again bool, err error) {
	if !s.begun() && r.neverStarted(ctx, h) {
		return true, nil
	}
	kind := errkind.TargetFailed
	if req.work.GetNotRepeatable() {
		kind = errkind.OutcomeUnknown
	}
	return false, begun(s, errkind.Wrap(kind, cause, "the answer was lost on its way"))
}

// neverStarted asks the sidecar to bar a request and reports whether it is
// certain never to start.
func (r *Router) neverStarted(ctx context.Context, h holder) bool {
	res, err := r.opts.Pool.Get(h.addr).Sidecar.Tombstone(ctx, &zinniaquayv1.TombstoneRequest{
		RequestId:   h.handoutID,
		Incarnation: h.incarnation,
	})
	return err == nil && res.GetOutcome() == zinniaquayv1.TombstoneResponse_never_started
}

// giveUp stops a request whose caller has gone or whose deadline has passed.
func (r *Router) giveUp(ctx context.Context, h holder, s *sink, cause error) error {
	deadline := errors.Is(ctx.Err(), context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_, err := r.opts.Pool.Get(h.addr).Sidecar.Cancel(ctx, &zinniaquayv1.CancelRequest{RequestId: h.handoutID, Incarnation: h.incarnation})
	if err != nil {
		r.opts.Log.Info("request not cancelled", "request", h.handoutID, "err", err.Error())
	}
	if deadline {
		return begun(s, errkind.Wrap(errkind.RunTimeout, cause, "the deadline passed while the request ran"))
	}
	return begun(s, errkind.Wrap(errkind.Canceled, cause, "the caller has gone"))
}
