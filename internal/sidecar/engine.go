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
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
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
)

// engine speaks to the target.
type engine struct {
	base string
	// shared keeps connections alive between requests.
	shared *http.Client
	// once opens a connection for each request and never repeats one: a
	// kept-alive connection lets the transport send a request again.
	once *http.Client
}

// newEngine returns the engine at a base URL.
func newEngine(base string) *engine {
	dial := (&net.Dialer{Timeout: targetDialTimeout}).DialContext
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &engine{
		base: base,
		shared: &http.Client{
			Transport:     &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleToTarget, DisableCompression: true},
			CheckRedirect: noRedirect,
		},
		once: &http.Client{
			Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
			CheckRedirect: noRedirect,
		},
	}
}

// run offers a request to the target and appends its answer to a buffer, except
// for the end, which it returns. charge is called as service is generated.
func (e *engine) run(ctx context.Context, work *zinniaquayv1.WorkRequest, answer *buffer, charge func(float64)) (*zinniaquayv1.End, capacity.Outcome) {
	res, err := e.offer(ctx, work)
	if err != nil {
		return offerFailed(ctx, err)
	}
	// A body that was read to its end can't fail to close in a way that matters.
	defer func() { _ = res.Body.Close() }()
	meter := &meter{charge: charge}
	if err := readAnswer(res, work, answer, meter); err != nil {
		return readFailed(ctx, err, meter.total), capacity.Failed
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return &zinniaquayv1.End{Service: meter.total}, capacity.Failed
	}
	return &zinniaquayv1.End{Service: meter.total}, capacity.Succeeded
}

// offer sends the request.
func (e *engine) offer(ctx context.Context, work *zinniaquayv1.WorkRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, work.GetMethod(), e.base+work.GetPath(), bytes.NewReader(work.GetBody()))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range work.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	if !work.GetNotRepeatable() {
		return e.shared.Do(req)
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	return e.once.Do(req)
}

// offerFailed tells how a request ended that got no answer. Only a connection
// that was never opened is certain not to have run.
func offerFailed(ctx context.Context, err error) (*zinniaquayv1.End, capacity.Outcome) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &zinniaquayv1.End{
			ErrorKind: string(errkind.NoTarget),
			Message:   "the target takes no connections",
			NotRun:    true,
		}, capacity.Refused
	}
	return readFailed(ctx, err, 0), capacity.Failed
}

// readFailed tells how a request ended whose answer broke off.
func readFailed(ctx context.Context, err error, service float64) *zinniaquayv1.End {
	end := &zinniaquayv1.End{ErrorKind: string(errkind.TargetFailed), Message: "the target's answer broke off", Service: service}
	var garbage *garbageError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		end.ErrorKind = string(errkind.RunTimeout)
		end.Message = "the deadline passed while the request ran"
	case errors.Is(ctx.Err(), context.Canceled):
		end.ErrorKind = string(errkind.Canceled)
		end.Message = "the request was cancelled"
	case errors.As(err, &garbage):
		end.Message = garbage.Error()
	}
	return end
}

// garbageError says that the target's answer makes no sense.
type garbageError struct{ what string }

// Error implements error.
func (g *garbageError) Error() string { return "the target's answer makes no sense: " + g.what }

// readAnswer reads a whole answer into a buffer.
func readAnswer(res *http.Response, work *zinniaquayv1.WorkRequest, answer *buffer, m *meter) error {
	model := work.GetUnits() == 0
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	switch {
	case model && res.StatusCode == http.StatusOK && err != nil:
		return &garbageError{what: "no content type"}
	case model && res.StatusCode == http.StatusOK && kind == "text/event-stream":
		answer.append(headChunk(res))
		return readEvents(res.Body, answer, m)
	case model && res.StatusCode == http.StatusOK:
		return readWhole(res, answer, m)
	}
	m.add(work.GetUnits())
	answer.append(headChunk(res))
	return readPlain(res.Body, answer)
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
	answer.append(headChunk(res))
	answer.append(bodyChunk(body))
	return nil
}

// readPlain copies an answer to its end.
func readPlain(body io.Reader, answer *buffer) error {
	for {
		part := make([]byte, readBytes)
		n, err := body.Read(part)
		if n > 0 {
			answer.append(bodyChunk(part[:n]))
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
