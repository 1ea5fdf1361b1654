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
	// chunkTimeout is how long a model's stream may go without a byte before
	// its connection counts as dead.
	chunkTimeout = 5 * time.Second
	// resumeTimeout is how long the sidecar tries to reach a stream on new
	// connections before it gives the answer up.
	resumeTimeout = 10 * time.Second
	// resumeEvery is the pause between two tries.
	resumeEvery = 100 * time.Millisecond
	// maxBroken is how many connections in a row may break off without a byte.
	maxBroken = 3
	// engineCancelTimeout bounds the call that stops a stream at the engine.
	engineCancelTimeout = 2 * time.Second
	// eventStream is the content type of a model's stream.
	eventStream = "text/event-stream"
	// streamsPath is where an engine resumes and cancels streams, by request ID.
	streamsPath = "/v1/streams/"
	// requestIDHeader names the stream to the engine.
	requestIDHeader = "X-Request-Id"
)

var (
	// errSilent means that a connection went silent.
	errSilent = errors.New("connection to the target went silent")
	// errStreamGone means that the engine does not know a stream.
	errStreamGone = errors.New("the engine does not know the stream")
)

// transfer reads the answer to one request over as many connections as it
// takes. A model's stream that goes silent or breaks off is resumed on a new
// connection at the byte that is due; other answers have one connection.
type transfer struct {
	engine   *engine
	work     *zinniaquayv1.WorkRequest
	streamed bool
	// offered says that bytes of the request may have reached the target.
	offered atomic.Bool

	ctx  context.Context
	body io.ReadCloser
	// read counts the bytes of the stream that were read.
	read int64
	// attempt is the context of the present connection, and stop ends it.
	attempt context.Context
	stop    context.CancelCauseFunc
	// broken counts connections in a row that broke off without a byte.
	broken int
	// watchdog ends a connection that is silent for chunkTimeout.
	watchdog *time.Timer
}

// start offers the request and returns the head of its answer.
func (t *transfer) start(ctx context.Context) (*http.Response, error) {
	t.ctx = ctx
	res, err := t.connect(func(ctx context.Context) (*http.Response, error) {
		return t.engine.offer(ctx, t.work, &t.offered)
	})
	if err == nil || !t.streamed || !t.offered.Load() || ctx.Err() != nil {
		return res, err
	}
	// The engine may have the stream all the same.
	return t.resume()
}

// connect makes a call on a connection of its own and keeps its body.
func (t *transfer) connect(call func(context.Context) (*http.Response, error)) (*http.Response, error) {
	ctx, stop := context.WithCancelCause(t.ctx)
	watchdog := time.AfterFunc(chunkTimeout, func() { stop(errSilent) })
	if !t.streamed {
		watchdog.Stop()
	}
	res, err := call(ctx)
	if err != nil {
		watchdog.Stop()
		if errors.Is(context.Cause(ctx), errSilent) {
			err = errSilent
		}
		stop(nil)
		return nil, err
	}
	// The old connection closes once the new one reads, so that the engine
	// never finds the stream without a reader.
	t.close()
	t.body, t.attempt, t.stop, t.watchdog = res.Body, ctx, stop, watchdog
	return res, nil
}

// Read implements io.Reader over all connections.
func (t *transfer) Read(p []byte) (int, error) {
	for {
		if t.streamed {
			t.watchdog.Reset(chunkTimeout)
		}
		n, err := t.body.Read(p)
		t.read += int64(n)
		switch {
		case n > 0:
			t.broken = 0
			return n, nil
		case err == nil:
			continue
		case errors.Is(err, io.EOF), t.ctx.Err() != nil, !t.streamed, !t.mayResume():
			return 0, err
		}
		if _, err := t.resume(); err != nil { //nolint:bodyclose // close closes it
			return 0, err
		}
	}
}

// mayResume reports whether a stream whose connection failed is worth another
// one. A connection that went silent always is: the engine may still be busy.
func (t *transfer) mayResume() bool {
	if errors.Is(context.Cause(t.attempt), errSilent) {
		return true
	}
	t.broken++
	wait.For(t.ctx, resumeEvery)
	return t.broken <= maxBroken
}

// resume takes the stream up on a new connection.
func (t *transfer) resume() (*http.Response, error) {
	t.engine.resumed.Inc(1)
	until := time.Now().Add(resumeTimeout)
	for {
		res, err := t.connect(t.fetch)
		if err == nil || errors.Is(err, errStreamGone) || t.ctx.Err() != nil || time.Now().After(until) {
			return res, err
		}
		wait.For(t.ctx, resumeEvery)
	}
}

// fetch asks the engine for the stream from the byte that is due, on a new
// connection.
func (t *transfer) fetch(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d", t.streamURL(), t.read), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	res, err := t.engine.once.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	// Nothing of this body is wanted.
	_ = res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return nil, errStreamGone
	}
	return nil, fmt.Errorf("resume stream: %s", res.Status)
}

// streamURL returns the URL of the stream at the engine.
func (t *transfer) streamURL() string {
	id := ""
	for _, h := range t.work.GetHeaders() {
		if h.GetName() == requestIDHeader {
			id = h.GetValue()
		}
	}
	return t.engine.base + streamsPath + url.PathEscape(id)
}

// close ends the present connection.
func (t *transfer) close() {
	if t.body == nil {
		return
	}
	t.watchdog.Stop()
	t.stop(nil)
	// A body that was read to its end can't fail to close in a way that matters.
	_ = t.body.Close()
	t.body = nil
}

// abort stops the stream of a failed transfer at the engine, which would
// otherwise go on for a reader that never comes back.
func (t *transfer) abort() {
	if !isModel(t.work) || !t.offered.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), engineCancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, t.streamURL(), http.NoBody)
	if err != nil {
		return
	}
	// An engine that can't be reached stops the stream when it misses its reader.
	if res, err := t.engine.once.Do(req); err == nil {
		_ = res.Body.Close()
	}
}
