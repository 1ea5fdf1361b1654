package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

const (
	// targetDialTimeout is the longest time that a connection to the target
	// takes to open.
	targetDialTimeout = time.Second
	// readBytes is the largest part of an answer that is read at once.
	readBytes = 32 << 10
	// maxWholeBytes bounds a model's answer that is not streamed.
	maxWholeBytes = 16 << 20
	// maxIdleToTarget bounds idle connections to the target.
	maxIdleToTarget = 256
	// idleToTarget closes connections to the target that nobody has used: the
	// longer one is idle, the likelier it has gone silent.
	idleToTarget = 10 * time.Second
)

// engine speaks to the target.
type engine struct {
	base string
	// shared keeps connections alive between requests to a model.
	shared *http.Client
	// once opens a connection for each request and never repeats one: a
	// kept-alive connection lets the transport send a request again.
	once *http.Client
	// resumed counts streams that were taken up on a new connection.
	resumed metrics.Counter
}

// newEngine returns the engine at a base URL. It counts in a registry.
func newEngine(base string, dial rpc.DialFunc, registry metrics.Registry) *engine {
	if dial == nil {
		dial = (&net.Dialer{Timeout: targetDialTimeout}).DialContext
	}
	shared := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleToTarget, IdleConnTimeout: idleToTarget, DisableCompression: true}
	once := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &engine{
		base:    base,
		shared:  newClient(shared),
		once:    newClient(once),
		resumed: metrics.GetOrRegisterCounter("streams_resumed_total", registry),
	}
}

// newClient returns a client that passes redirects on to the caller.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run offers a request to the target and appends its answer to a buffer, except
// for the end, which it returns. charge is called as service is generated.
func (e *engine) run(ctx context.Context, work *zinniaquayv1.WorkRequest, answer *buffer, charge func(float64)) (*zinniaquayv1.End, capacity.Outcome) {
	t := &transfer{engine: e, work: work, streamed: streamed(work)}
	defer t.close()
	res, err := t.start(ctx) //nolint:bodyclose // transfer.close closes it
	if err != nil && !t.offered.Load() {
		return neverOffered(ctx)
	}
	meter := &meter{charge: charge}
	if err == nil {
		err = readAnswer(res, t, answer, meter)
	}
	if err != nil {
		t.abort()
		return readFailed(ctx, err, meter.total), capacity.Failed
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return &zinniaquayv1.End{Service: meter.total}, capacity.Failed
	}
	return &zinniaquayv1.End{Service: meter.total}, capacity.Succeeded
}

// isModel reports whether a request goes to a model.
func isModel(work *zinniaquayv1.WorkRequest) bool { return work.GetUnits() == 0 }

// streamed reports whether a request asks a model for a stream.
func streamed(work *zinniaquayv1.WorkRequest) bool {
	var body struct {
		Stream bool `json:"stream"`
	}
	return isModel(work) && json.Unmarshal(work.GetBody(), &body) == nil && body.Stream
}

// offer sends the request. It sets offered before a byte of it can leave, so
// that without offered the request certainly did not reach the target.
func (e *engine) offer(ctx context.Context, work *zinniaquayv1.WorkRequest, offered *atomic.Bool) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { offered.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, work.GetMethod(), e.base+work.GetPath(), bytes.NewReader(work.GetBody()))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range work.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	if isModel(work) && !work.GetNotRepeatable() {
		return e.shared.Do(req)
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	return e.once.Do(req)
}

// neverOffered tells how a request ended for which no connection opened.
func neverOffered(ctx context.Context) (*zinniaquayv1.End, capacity.Outcome) {
	end := &zinniaquayv1.End{ErrorKind: string(errkind.NoTarget), Message: "the target takes no connections", NotRun: true}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		end.ErrorKind, end.Message = string(errkind.WaitTimeout), "the deadline passed before the request started"
	case ctx.Err() != nil:
		end.ErrorKind, end.Message = string(errkind.Canceled), "the request was cancelled"
		return end, capacity.NeverStarted
	}
	return end, capacity.Refused
}

// readFailed tells how a request ended whose answer broke off.
func readFailed(ctx context.Context, err error, service float64) *zinniaquayv1.End {
	end := &zinniaquayv1.End{ErrorKind: string(errkind.TargetFailed), Message: "the target's answer broke off", Service: service}
	var garbage *garbageError
	var status *statusError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		end.ErrorKind = string(errkind.RunTimeout)
		end.Message = "the deadline passed while the request ran"
	case errors.Is(ctx.Err(), context.Canceled):
		end.ErrorKind = string(errkind.Canceled)
		end.Message = "the request was cancelled"
	case errors.As(err, &garbage):
		end.Message = garbage.Error()
	case errors.As(err, &status):
		end.Message = status.Error()
	case errors.Is(err, errBufferFull):
		end.Message = "the sidecar has no room to keep the answer"
	}
	return end
}

// garbageError says that the target's answer makes no sense.
type garbageError struct{ what string }

// Error implements error.
func (g *garbageError) Error() string { return "the target's answer makes no sense: " + g.what }

// statusError says that a model answered with an error of its own.
type statusError struct{ status string }

// Error implements error.
func (s *statusError) Error() string { return "the target answered " + s.status }

// readAnswer reads a whole answer into a buffer.
func readAnswer(res *http.Response, t *transfer, answer *buffer, m *meter) error {
	model := isModel(t.work) && res.StatusCode == http.StatusOK
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	switch {
	case res.StatusCode < http.StatusOK:
		// A switch of protocols was never asked for.
		return &garbageError{what: res.Status}
	case isModel(t.work) && res.StatusCode >= http.StatusInternalServerError:
		// The router may try another target; a model's request can be repeated.
		return &statusError{status: res.Status}
	case model && err != nil:
		return &garbageError{what: "no content type"}
	case model && kind == eventStream:
		// What follows the end of the stream is dropped, so its length is none.
		res.Header.Del("Content-Length")
		if err := answer.add(headChunk(res)); err != nil {
			return err
		}
		return readEvents(t, answer, m)
	case model:
		return readWhole(res, answer, m)
	}
	m.add(t.work.GetUnits())
	return readPlain(res, answer)
}

// readWhole reads a model's answer that is not streamed, and checks it before
// the caller sees any of it.
func readWhole(res *http.Response, answer *buffer, m *meter) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxWholeBytes+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	var usage usageBody
	if len(body) > maxWholeBytes || json.Unmarshal(body, &usage) != nil {
		return &garbageError{what: "not JSON, or too large"}
	}
	m.settle(usage.Usage)
	if err := answer.add(headChunk(res)); err != nil {
		return err
	}
	return answer.add(bodyChunk(body))
}

// readPlain copies an answer to its end. An answer that ends with its
// connection could have been cut anywhere and is refused.
func readPlain(res *http.Response, answer *buffer) error {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed {
		return &garbageError{what: "it does not say where it ends"}
	}
	if err := answer.add(headChunk(res)); err != nil {
		return err
	}
	for {
		part := make([]byte, readBytes)
		n, err := res.Body.Read(part)
		if n > 0 {
			if err := answer.add(bodyChunk(part[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
	}
}

// passedOn lists the headers of an answer that callers see.
var passedOn = []string{"Content-Type", "Content-Length", "Content-Language", "Cache-Control", "ETag", "Last-Modified", "Location", "Retry-After"}

// headChunk returns the first chunk of an answer.
func headChunk(res *http.Response) *zinniaquayv1.Chunk {
	head := &zinniaquayv1.Head{Status: uint32(res.StatusCode)}
	for _, name := range passedOn {
		for _, value := range res.Header.Values(name) {
			head.Headers = append(head.Headers, &zinniaquayv1.Header{Name: name, Value: value})
		}
	}
	return &zinniaquayv1.Chunk{Part: &zinniaquayv1.Chunk_Head{Head: head}}
}

// bodyChunk returns a chunk of an answer's body.
func bodyChunk(b []byte) *zinniaquayv1.Chunk {
	return &zinniaquayv1.Chunk{Part: &zinniaquayv1.Chunk_Body{Body: b}}
}
