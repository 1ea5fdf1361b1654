package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// streamIdleTimeout is how long a model's stream may deliver no data before
	// its connection is considered dead.
	streamIdleTimeout = 5 * time.Second
	// resumeTimeout is how long the sidecar tries to resume a stream on new
	// connections before the response fails.
	resumeTimeout = 10 * time.Second
	// resumeInterval is the delay between two attempts.
	resumeInterval = 100 * time.Millisecond
	// maxBrokenConns is the maximum number of consecutive connections that
	// break without delivering a byte.
	maxBrokenConns = 3
	// streamCancelTimeout is the timeout of the call that cancels a stream at
	// the target.
	streamCancelTimeout = 2 * time.Second
	// eventStream is the content type of a model's stream.
	eventStream = "text/event-stream"
	// streamsPath is the path at which a target resumes and cancels streams, by
	// request ID.
	streamsPath = "/v1/streams/"
	// requestIDHeader identifies the stream to the target.
	requestIDHeader = "X-Request-Id"
)

var (
	// errConnectionSilent means that a connection delivered no data for
	// streamIdleTimeout.
	errConnectionSilent = errors.New("connection to the target delivered no data for too long")
	// errStreamNotFound means that the target has no such stream.
	errStreamNotFound = errors.New("the target has no such stream")
)

// transfer reads the response to one request over one or more connections. A
// model's stream whose connection goes silent or breaks is resumed on a new
// connection at the next unread byte. Other responses use one connection.
type transfer struct {
	client   *targetClient
	work     *zinniaquayv1.WorkRequest
	streamed bool
	// sent is true if bytes of the request may have reached the target.
	sent atomic.Bool

	ctx  context.Context
	body io.ReadCloser
	// bytesRead counts the bytes read from the stream.
	bytesRead int64
	// connCtx is the context of the current connection; cancelConn cancels it.
	connCtx    context.Context
	cancelConn context.CancelCauseFunc
	// brokenConns counts consecutive connections that broke without delivering
	// a byte.
	brokenConns int
	// watchdog cancels a connection that is silent for streamIdleTimeout.
	watchdog *time.Timer
}

// start sends the request and returns the head of its response.
func (t *transfer) start(ctx context.Context) (*http.Response, error) {
	t.ctx = ctx
	res, err := t.connect(func(ctx context.Context) (*http.Response, error) {
		return t.client.send(ctx, t.work, &t.sent)
	})
	if err == nil || !t.streamed || !t.sent.Load() || ctx.Err() != nil {
		return res, err
	}
	// The target may have started the stream nevertheless.
	return t.resume()
}

// connect makes a call with a context of its own. If it succeeds, its response
// body replaces the current one.
func (t *transfer) connect(call func(context.Context) (*http.Response, error)) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(t.ctx)
	watchdog := time.AfterFunc(streamIdleTimeout, func() { cancel(errConnectionSilent) })
	if !t.streamed {
		watchdog.Stop()
	}
	res, err := call(ctx)
	if err != nil {
		watchdog.Stop()
		if errors.Is(context.Cause(ctx), errConnectionSilent) {
			err = errConnectionSilent
		}
		cancel(nil)
		return nil, err
	}
	// The old connection is closed only once the new one is open, so that the
	// target never finds the stream without a reader.
	t.close()
	t.body, t.connCtx, t.cancelConn, t.watchdog = res.Body, ctx, cancel, watchdog
	return res, nil
}

// Read implements io.Reader across all connections.
func (t *transfer) Read(p []byte) (int, error) {
	for {
		if t.streamed {
			t.watchdog.Reset(streamIdleTimeout)
		}
		n, err := t.body.Read(p)
		t.bytesRead += int64(n)
		switch {
		case n > 0:
			t.brokenConns = 0
			return n, nil
		case err == nil:
			continue
		case errors.Is(err, io.EOF), t.ctx.Err() != nil, !t.streamed, !t.shouldResume():
			return 0, err
		}
		if _, err := t.resume(); err != nil { //nolint:bodyclose // close closes it
			return 0, err
		}
	}
}

// shouldResume reports whether a stream whose connection failed should be
// resumed. It always should after a silent connection: the target may still be
// busy.
func (t *transfer) shouldResume() bool {
	if errors.Is(context.Cause(t.connCtx), errConnectionSilent) {
		return true
	}
	t.brokenConns++
	wait.For(t.ctx, resumeInterval)
	return t.brokenConns <= maxBrokenConns
}

// resume continues the stream on a new connection.
func (t *transfer) resume() (*http.Response, error) {
	t.client.resumedStreams.Inc(1)
	deadline := time.Now().Add(resumeTimeout)
	for {
		res, err := t.connect(t.fetchStream)
		if err == nil || errors.Is(err, errStreamNotFound) || t.ctx.Err() != nil || time.Now().After(deadline) {
			return res, err
		}
		wait.For(t.ctx, resumeInterval)
	}
}

// fetchStream requests the stream from the next unread byte, on a new
// connection.
func (t *transfer) fetchStream(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d", t.streamURL(), t.bytesRead), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	res, err := t.client.singleUse.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	// The body of an error response is not needed.
	_ = res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return nil, errStreamNotFound
	}
	return nil, fmt.Errorf("resume stream: %s", res.Status)
}

// streamURL returns the URL of the stream at the target.
func (t *transfer) streamURL() string {
	id := ""
	for _, h := range t.work.GetHeaders() {
		if h.GetName() == requestIDHeader {
			id = h.GetValue()
		}
	}
	return t.client.baseURL + streamsPath + url.PathEscape(id)
}

// close closes the current connection.
func (t *transfer) close() {
	if t.body == nil {
		return
	}
	t.watchdog.Stop()
	t.cancelConn(nil)
	// The body is not read any further, so an error on close does not matter.
	_ = t.body.Close()
	t.body = nil
}

// cancelStream cancels the stream of a failed transfer at the target, which
// would otherwise continue for a reader that never returns.
func (t *transfer) cancelStream() {
	if !isModel(t.work) || !t.sent.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), streamCancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, t.streamURL(), http.NoBody)
	if err != nil {
		return
	}
	// A target that can't be reached stops the stream when it has no reader.
	if res, err := t.client.singleUse.Do(req); err == nil {
		_ = res.Body.Close()
	}
}
