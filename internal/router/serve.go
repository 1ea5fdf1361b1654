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

// serve queues a request, waits for a sidecar and relays the answer.
func (r *Router) serve(w http.ResponseWriter, httpReq *http.Request, snap *configstore.Snapshot, req *request) error {
	key := httpReq.Header.Get(idempotencyKeyHeader)
	if key != "" && req.work.GetNotRepeatable() {
		return r.serveKeyed(w, httpReq, snap, req, key)
	}
	return r.run(httpReq.Context(), httpReq.Context(), snap, req, newSink(w))
}

// run takes a request through hand-outs until its answer is relayed. The
// request is withdrawn when waiting ends, and cancelled when running ends.
func (r *Router) run(waiting, running context.Context, snap *configstore.Snapshot, req *request, s *sink) error {
	waiting, stopWaiting := context.WithDeadline(waiting, req.deadline)
	defer stopWaiting()
	running, stopRunning := context.WithDeadline(running, req.deadline)
	defer stopRunning()
	if err := r.enqueue(req, snap); err != nil {
		return err
	}
	defer r.release(req)
	for {
		h, err := r.wait(waiting, req)
		if err != nil {
			return err
		}
		again, err := r.relay(running, req, h, s)
		if !again {
			r.finish(req)
			return err
		}
		wait.For(running, retry.Backoff(req.handouts))
		if running.Err() != nil {
			r.finish(req)
			return err
		}
		r.requeue(req)
	}
}

// wait waits for a hand-out. A request that is given up before it was handed
// out has not run.
func (r *Router) wait(ctx context.Context, req *request) (holder, error) {
	h, err := req.await(ctx)
	if err == nil {
		return h, nil
	}
	if !r.withdraw(req) {
		// It was handed out in the meantime.
		return <-req.granted, nil
	}
	switch {
	case req.retries > 0:
		return holder{}, errkind.Wrap(errkind.TargetFailed, err, "the target failed and no other had room before the deadline")
	case errors.Is(err, errEvicted):
		return holder{}, errkind.New(errkind.QueueFull, "the router is full, mostly of the account's requests")
	case errors.Is(err, context.DeadlineExceeded):
		return holder{}, errkind.New(errkind.WaitTimeout, "no target had room before the deadline")
	}
	return holder{}, errkind.Wrap(errkind.Canceled, err, "the caller has gone")
}
