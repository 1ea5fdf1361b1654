package router

import (
	"context"
	"net/http"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/idempotency"
)

const (
	// idempotencyKeyHeader carries the key of a request that must run at most
	// once.
	idempotencyKeyHeader = "Idempotency-Key"
	// replayedHeader marks a response that was recorded for an earlier request.
	replayedHeader = "Idempotent-Replayed"
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 256
	// keyReleaseTimeout limits how long an error response is delayed until its
	// key is released.
	keyReleaseTimeout = time.Second
)

// serveIdempotent serves a request whose idempotency key must be claimed
// before the request is dispatched. Once dispatched, the request continues if
// its caller disconnects, so that the caller can fetch the response with the
// same key.
func (r *Router) serveIdempotent(w http.ResponseWriter, httpReq *http.Request, snap *configstore.Snapshot, req *request, key string) error {
	claim, answer, err := r.claimKey(httpReq.Context(), snap, req, key)
	if err != nil {
		return err
	}
	if answer != nil {
		return replay(w, answer)
	}
	s := newSink(w)
	s.recorder = &recorder{}
	err = r.run(httpReq.Context(), context.WithoutCancel(httpReq.Context()), snap, req, s)
	r.settleKey(httpReq.Context(), claim, req, s.recorder, err)
	return err
}

// claimKey claims the key of a request, or returns the recorded response of an
// earlier request with the same key.
func (r *Router) claimKey(ctx context.Context, snap *configstore.Snapshot, req *request, key string) (*idempotency.Claim, *zinniaquayv1.RecordedAnswer, error) {
	if r.keys == nil {
		return nil, nil, errkind.New(errkind.PlatformUnavailable, "idempotency keys can't be claimed here")
	}
	if len(key) > maxKeyBytes {
		return nil, nil, errkind.New(errkind.Malformed, "the idempotency key is over %d bytes", maxKeyBytes)
	}
	// Avoid a write to the key-value service for a request that would be refused
	// anyway.
	if err := r.checkEnqueue(req.account, snap); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	return r.keys.Claim(ctx, idempotency.Request{
		Account: req.account,
		Service: req.service,
		Key:     key,
		Digest:  workDigest(req.work),
		Owner:   req.id,
		Timeout: time.Until(req.deadline),
	})
}

// checkEnqueue returns an error if a request of an account cannot be queued at
// present.
func (r *Router) checkEnqueue(account string, snap *configstore.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkEnqueueLocked(account, snap)
}

// workDigest returns a digest of a request. It differs between different
// requests that use the same key.
func workDigest(work *zinniaquayv1.WorkRequest) [32]byte {
	parts := [][]byte{[]byte(work.GetMethod()), []byte(work.GetPath()), work.GetBody()}
	for _, h := range work.GetHeaders() {
		if h.GetName() == "Content-Type" {
			parts = append(parts, []byte(h.GetValue()))
		}
	}
	return idempotency.Digest(parts...)
}

// settleKey records the outcome of the request that owns a key.
func (r *Router) settleKey(ctx context.Context, claim *idempotency.Claim, req *request, rec *recorder, err error) {
	switch {
	case rec.complete:
		r.keys.Done(claim, rec.answer())
	case r.notRun(req, err):
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyReleaseTimeout)
		defer cancel()
		r.keys.Release(ctx, claim)
	default:
		r.keys.Unknown(claim)
	}
}

// notRun reports whether a request that ended with an error certainly did not
// run: either the error response states so, or the request was withdrawn from
// its queue.
func (r *Router) notRun(req *request, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errkind.Of(err).Answer().NotRun || req.withdrawn
}

// replay writes a recorded response.
func replay(w http.ResponseWriter, a *zinniaquayv1.RecordedAnswer) error {
	w.Header().Set(replayedHeader, "true")
	for _, h := range a.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(int(a.GetStatus()))
	if _, err := w.Write(a.GetBody()); err != nil {
		return startedError(errkind.Wrap(errkind.Canceled, err, "the caller has gone"))
	}
	return nil
}

// maxRecordedBytes limits the body of a recorded response.
const maxRecordedBytes = 16 << 10

// recorder copies a response that passes through a sink.
type recorder struct {
	status      uint32
	headers     []*zinniaquayv1.Header
	body        []byte
	bodyOmitted bool
	// complete is set once the end of the response was received.
	complete bool
}

// add copies a chunk of the response.
func (r *recorder) add(c *zinniaquayv1.Chunk) {
	if head := c.GetHead(); head != nil {
		r.status, r.headers = head.GetStatus(), head.GetHeaders()
		return
	}
	b := c.GetBody()
	if r.bodyOmitted || len(r.body)+len(b) > maxRecordedBytes {
		r.body, r.bodyOmitted = nil, true
		return
	}
	r.body = append(r.body, b...)
}

// answer returns the recorded response.
func (r *recorder) answer() *zinniaquayv1.RecordedAnswer {
	return &zinniaquayv1.RecordedAnswer{Status: r.status, Headers: r.headers, Body: r.body, LeftOut: r.bodyOmitted}
}
