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
	// targetDialTimeout is the timeout for opening a connection to the target.
	targetDialTimeout = time.Second
	// readBytes is the maximum number of bytes read from a response at once.
	readBytes = 32 << 10
	// maxModelBodyBytes is the maximum size of a model's response that is not
	// streamed.
	maxModelBodyBytes = 16 << 20
	// maxIdleTargetConns is the maximum number of idle connections to the
	// target.
	maxIdleTargetConns = 256
	// targetIdleTimeout is how long a connection to the target may stay idle
	// before it is closed. The longer a connection is idle, the likelier it has
	// failed silently.
	targetIdleTimeout = 10 * time.Second
)

// targetClient sends requests to the target.
type targetClient struct {
	baseURL string
	// pooled keeps connections alive between requests to a model.
	pooled *http.Client
	// singleUse opens a connection for each request and never repeats one: on a
	// kept-alive connection the transport may send a request again.
	singleUse *http.Client
	// resumedStreams counts resumptions of streams on new connections.
	resumedStreams metrics.Counter
}

// newTargetClient returns a client for the target at a base URL. It registers
// its metrics in the registry.
func newTargetClient(baseURL string, dial rpc.DialFunc, registry metrics.Registry) *targetClient {
	if dial == nil {
		dial = (&net.Dialer{Timeout: targetDialTimeout}).DialContext
	}
	pooled := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleTargetConns, IdleConnTimeout: targetIdleTimeout, DisableCompression: true}
	singleUse := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &targetClient{
		baseURL:        baseURL,
		pooled:         newHTTPClient(pooled),
		singleUse:      newHTTPClient(singleUse),
		resumedStreams: metrics.GetOrRegisterCounter("streams_resumed_total", registry),
	}
}

// newHTTPClient returns an HTTP client that returns redirects instead of
// following them.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run sends a request to the target and appends its response to a buffer,
// except for the end, which it returns. charge is called as service is
// generated.
func (c *targetClient) run(ctx context.Context, work *zinniaquayv1.WorkRequest, buf *buffer, charge func(float64)) (*zinniaquayv1.End, capacity.Outcome) {
	t := &transfer{client: c, work: work, streamed: streamed(work)}
	defer t.close()
	res, err := t.start(ctx) //nolint:bodyclose // transfer.close closes it
	if err != nil && !t.sent.Load() {
		return endNotSent(ctx)
	}
	meter := &meter{charge: charge}
	if err == nil {
		err = readResponse(res, t, buf, meter)
	}
	if err != nil {
		t.cancelStream()
		return endReadFailed(ctx, err, meter.total), capacity.Failed
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return &zinniaquayv1.End{Service: meter.total}, capacity.Failed
	}
	return &zinniaquayv1.End{Service: meter.total}, capacity.Succeeded
}

// isModel reports whether a request goes to a model.
func isModel(work *zinniaquayv1.WorkRequest) bool { return work.GetUnits() == 0 }

// streamed reports whether a request asks a model for a streamed response.
func streamed(work *zinniaquayv1.WorkRequest) bool {
	var body struct {
		Stream bool `json:"stream"`
	}
	return isModel(work) && json.Unmarshal(work.GetBody(), &body) == nil && body.Stream
}

// send sends the request. It sets sent before any byte can leave: while sent is
// false, the request certainly did not reach the target.
func (c *targetClient) send(ctx context.Context, work *zinniaquayv1.WorkRequest, sent *atomic.Bool) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, work.GetMethod(), c.baseURL+work.GetPath(), bytes.NewReader(work.GetBody()))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range work.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	if isModel(work) && !work.GetNotRepeatable() {
		return c.pooled.Do(req)
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	return c.singleUse.Do(req)
}

// endNotSent returns the end of a request for which no connection was opened.
func endNotSent(ctx context.Context) (*zinniaquayv1.End, capacity.Outcome) {
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

// endReadFailed returns the end of a request whose response failed with err.
func endReadFailed(ctx context.Context, err error, service float64) *zinniaquayv1.End {
	end := &zinniaquayv1.End{ErrorKind: string(errkind.TargetFailed), Message: "the target's answer broke off", Service: service}
	var invalid *malformedError
	var status *statusError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		end.ErrorKind = string(errkind.RunTimeout)
		end.Message = "the deadline passed while the request ran"
	case errors.Is(ctx.Err(), context.Canceled):
		end.ErrorKind = string(errkind.Canceled)
		end.Message = "the request was cancelled"
	case errors.As(err, &invalid):
		end.Message = invalid.Error()
	case errors.As(err, &status):
		end.Message = status.Error()
	case errors.Is(err, errBufferFull):
		end.Message = "the sidecar has no room to keep the answer"
	}
	return end
}

// malformedError means that the target's response is invalid.
type malformedError struct{ reason string }

// Error implements error.
func (e *malformedError) Error() string { return "the target's answer makes no sense: " + e.reason }

// statusError means that a model responded with an error status.
type statusError struct{ status string }

// Error implements error.
func (s *statusError) Error() string { return "the target answered " + s.status }

// readResponse reads a complete response into a buffer.
func readResponse(res *http.Response, t *transfer, buf *buffer, m *meter) error {
	model := isModel(t.work) && res.StatusCode == http.StatusOK
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	switch {
	case res.StatusCode < http.StatusOK:
		// The request did not ask to switch protocols.
		return &malformedError{reason: res.Status}
	case isModel(t.work) && res.StatusCode >= http.StatusInternalServerError:
		// The router may try another target, as a request to a model can be
		// repeated.
		return &statusError{status: res.Status}
	case model && err != nil:
		return &malformedError{reason: "no content type"}
	case model && kind == eventStream:
		// Data after the end of the stream is dropped, so the length may
		// differ.
		res.Header.Del("Content-Length")
		if err := buf.add(headChunk(res)); err != nil {
			return err
		}
		return readEvents(t, buf, m)
	case model:
		return readModelBody(res, buf, m)
	}
	m.add(t.work.GetUnits())
	return readPlain(res, buf)
}

// readModelBody reads a model's response that is not streamed, and validates it
// before any of it is forwarded to the caller.
func readModelBody(res *http.Response, buf *buffer, m *meter) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxModelBodyBytes+1))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	var usage usageBody
	if len(body) > maxModelBodyBytes || json.Unmarshal(body, &usage) != nil {
		return &malformedError{reason: "not JSON, or too large"}
	}
	m.settle(usage.Usage)
	if err := buf.add(headChunk(res)); err != nil {
		return err
	}
	return buf.add(bodyChunk(body))
}

// readPlain copies a response to its end. A response that is delimited only by
// the end of its connection may be truncated anywhere and is rejected.
func readPlain(res *http.Response, buf *buffer) error {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed {
		return &malformedError{reason: "it does not say where it ends"}
	}
	if err := buf.add(headChunk(res)); err != nil {
		return err
	}
	for {
		part := make([]byte, readBytes)
		n, err := res.Body.Read(part)
		if n > 0 {
			if err := buf.add(bodyChunk(part[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
	}
}

// forwardedHeaders lists the response headers that are forwarded to callers.
var forwardedHeaders = []string{"Content-Type", "Content-Length", "Content-Language", "Cache-Control", "ETag", "Last-Modified", "Location", "Retry-After"}

// headChunk returns the first chunk of a response.
func headChunk(res *http.Response) *zinniaquayv1.Chunk {
	head := &zinniaquayv1.Head{Status: uint32(res.StatusCode)}
	for _, name := range forwardedHeaders {
		for _, value := range res.Header.Values(name) {
			head.Headers = append(head.Headers, &zinniaquayv1.Header{Name: name, Value: value})
		}
	}
	return &zinniaquayv1.Chunk{Part: &zinniaquayv1.Chunk_Head{Head: head}}
}

// bodyChunk returns a chunk of a response's body.
func bodyChunk(b []byte) *zinniaquayv1.Chunk {
	return &zinniaquayv1.Chunk{Part: &zinniaquayv1.Chunk_Body{Body: b}}
}
