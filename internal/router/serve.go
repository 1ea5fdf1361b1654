package router

import (
	"context"
	"errors"
	"net/http"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/retry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// serve queues a request, waits until it is dispatched and relays the
// response.
func (r *Router) serve(w http.ResponseWriter, httpReq *http.Request, snap *configstore.Snapshot, req *request) error {
	key := httpReq.Header.Get(idempotencyKeyHeader)
	if key != "" && req.work.GetNotRepeatable() {
		return r.serveIdempotent(w, httpReq, snap, req, key)
	}
	return r.run(httpReq.Context(), httpReq.Context(), snap, req, newSink(w))
}

// run dispatches a request, again if necessary, until its response is relayed.
// The end of waitCtx withdraws the request from its queue, and the end of
// runCtx cancels a running attempt.
func (r *Router) run(waitCtx, runCtx context.Context, snap *configstore.Snapshot, req *request, s *sink) error {
	waitCtx, cancelWait := context.WithDeadline(waitCtx, req.deadline)
	defer cancelWait()
	runCtx, cancelRun := context.WithDeadline(runCtx, req.deadline)
	defer cancelRun()
	if err := r.enqueue(req, snap); err != nil {
		return err
	}
	defer r.releaseBody(req)
	for {
		a, err := r.awaitAssignment(waitCtx, req)
		if err != nil {
			return err
		}
		requeue, err := r.relay(runCtx, req, a, s)
		if !requeue {
			r.finish(req)
			return err
		}
		wait.For(runCtx, retry.Backoff(req.attempt))
		if runCtx.Err() != nil {
			r.finish(req)
			return err
		}
		r.requeue(req)
	}
}

// awaitAssignment waits until a request is dispatched. A request that is
// withdrawn before its first attempt has not run.
func (r *Router) awaitAssignment(ctx context.Context, req *request) (assignment, error) {
	a, err := req.await(ctx)
	if err == nil {
		return a, nil
	}
	if !r.withdraw(req) {
		// The request was dispatched in the meantime.
		return <-req.granted, nil
	}
	switch {
	case req.retries > 0:
		return assignment{}, errkind.Wrap(errkind.TargetFailed, err, "the target failed and no other had room before the deadline")
	case errors.Is(err, errEvicted):
		return assignment{}, errkind.New(errkind.QueueFull, "the router is full, mostly of the account's requests")
	case errors.Is(err, context.DeadlineExceeded):
		return assignment{}, errkind.New(errkind.WaitTimeout, "no target had room before the deadline")
	}
	return assignment{}, errkind.Wrap(errkind.Canceled, err, "the caller has gone")
}
