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
	// idempotencyKeyHeader names a request that must run at most once.
	idempotencyKeyHeader = "Idempotency-Key"
	// replayedHeader marks an answer that was recorded for an earlier request.
	replayedHeader = "Idempotent-Replayed"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// settleTimeout bounds how long a refusal waits for its key to be free.
	settleTimeout = time.Second
)

// serveKeyed serves a request whose idempotency key must be claimed before it
// is handed out. Once handed out it runs on when its caller goes, so that the
// caller can ask for the answer with the same key.
func (r *Router) serveKeyed(w http.ResponseWriter, httpReq *http.Request, snap *configstore.Snapshot, req *request, key string) error {
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

// claimKey claims the key of a request, or returns what an earlier request with
// the same key was answered.
func (r *Router) claimKey(ctx context.Context, snap *configstore.Snapshot, req *request, key string) (*idempotency.Claim, *zinniaquayv1.RecordedAnswer, error) {
	if r.keys == nil {
		return nil, nil, errkind.New(errkind.PlatformUnavailable, "idempotency keys can't be claimed here")
	}
	if len(key) > maxKeyBytes {
		return nil, nil, errkind.New(errkind.Malformed, "the idempotency key is over %d bytes", maxKeyBytes)
	}
	// No write is spent on a request that is refused anyway.
	if err := r.hasRoom(req.account, snap); err != nil {
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

// hasRoom returns why a request of an account may not wait here now, if so.
func (r *Router) hasRoom(account string, snap *configstore.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayEnqueue(account, snap)
}

// workDigest tells a request from others that present the same key.
func workDigest(work *zinniaquayv1.WorkRequest) [32]byte {
	parts := [][]byte{[]byte(work.GetMethod()), []byte(work.GetPath()), work.GetBody()}
	for _, h := range work.GetHeaders() {
		if h.GetName() == "Content-Type" {
			parts = append(parts, []byte(h.GetValue()))
		}
	}
	return idempotency.Digest(parts...)
}

// settleKey notes what became of the request that owns a key.
func (r *Router) settleKey(ctx context.Context, claim *idempotency.Claim, req *request, rec *recorder, err error) {
	switch {
	case rec.whole:
		r.keys.Done(claim, rec.answer())
	case r.notRun(req, err):
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
		defer cancel()
		r.keys.Release(ctx, claim)
	default:
		r.keys.Unknown(claim)
	}
}

// notRun reports whether a request that ended with an error certainly did not
// run: the router says so to the caller, or withdrew it from its queue.
func (r *Router) notRun(req *request, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errkind.Of(err).Answer().NotRun || req.withdrawn
}

// replay sends a recorded answer.
func replay(w http.ResponseWriter, a *zinniaquayv1.RecordedAnswer) error {
	w.Header().Set(replayedHeader, "true")
	for _, h := range a.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(int(a.GetStatus()))
	if _, err := w.Write(a.GetBody()); err != nil {
		return begunError(errkind.Wrap(errkind.Canceled, err, "the caller has gone"))
	}
	return nil
}

// maxRecordedBytes bounds the body of a recorded answer.
const maxRecordedBytes = 16 << 10

// recorder copies an answer that passes through a sink.
type recorder struct {
	status  uint32
	headers []*zinniaquayv1.Header
	body    []byte
	leftOut bool
	// whole says that the answer has come to its end.
	whole bool
}

// add copies a chunk of the answer.
func (r *recorder) add(c *zinniaquayv1.Chunk) {
	if head := c.GetHead(); head != nil {
		r.status, r.headers = head.GetStatus(), head.GetHeaders()
		return
	}
	b := c.GetBody()
	if r.leftOut || len(r.body)+len(b) > maxRecordedBytes {
		r.body, r.leftOut = nil, true
		return
	}
	r.body = append(r.body, b...)
}

// answer returns the whole answer.
func (r *recorder) answer() *zinniaquayv1.RecordedAnswer {
	return &zinniaquayv1.RecordedAnswer{Status: r.status, Headers: r.headers, Body: r.body, LeftOut: r.leftOut}
}
