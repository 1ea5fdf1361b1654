package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/upstream"
)

// relayState is how much of a response has been relayed to its caller.
type relayState struct {
	// headSent is true once the response header was sent to the caller.
	headSent bool
	// finished is true if the response is complete or must not continue.
	finished bool
	// lastEventID is the ID of the last event sent to the caller, and mediaType that of the
	// stream.
	lastEventID string
	mediaType   string
	eventCount  int
	// firstByteAfter is the time from the request's start to the first byte of
	// its response, and longestGap the longest pause between events.
	firstByteAfter, longestGap time.Duration
	lastWrite                  time.Time
}

// recordWrite records that bytes of the response were sent to the caller.
func (r *relayState) recordWrite(started, now time.Time) {
	if r.lastWrite.IsZero() {
		r.firstByteAfter = now.Sub(started)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastWrite))
	}
	r.lastWrite = now
}

const (
	// relayBufferBytes is the size of the buffer for events. An event that does
	// not fit is an error.
	relayBufferBytes = 32 << 10
	// eventWaitFactor is the number of maximum gaps between events that a
	// resumable stream waits before it resumes at another target.
	eventWaitFactor = 4
)

var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBufferBytes); return &b }}

// relayStream relays the events of a stream as they arrive, complete events
// only.
func (g *Gateway) relayStream(x *call, d dispatch.Decision, conn *upstream.Conn, resp *http.Response) error {
	pooled := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(pooled)
	buffer, buffered, responseStarted := *pooled, 0, false
	if err := g.setEventDeadline(x, conn); err != nil {
		return transferError(x, err, "set a deadline")
	}
	for {
		n, err := resp.Body.Read(buffer[buffered:])
		buffered += n
		if last := bytes.LastIndex(buffer[:buffered], eventTerminator); last >= 0 {
			complete := last + len(eventTerminator)
			if !responseStarted {
				if err := x.relay.checkResumed(buffer[:complete]); err != nil {
					return transferError(x, err, "go on with the answer")
				}
				responseStarted = true
				g.scheduler.responseStarted(d.Request.Sequence)
				g.countStart(x)
			}
			if err := g.writeEvents(x, resp, buffer[:complete]); err != nil {
				return err
			}
			if carriesEvent(buffer[:complete]) {
				if err := g.setEventDeadline(x, conn); err != nil {
					return transferError(x, err, "set a deadline")
				}
			}
			buffered = copy(buffer, buffer[complete:buffered])
		}
		switch {
		case errors.Is(err, io.EOF) && !responseStarted && x.relay.headSent:
			return transferError(x, errNotResumed, "go on with the answer")
		case errors.Is(err, io.EOF):
			return g.endStream(x, d, resp, buffer[:buffered], responseStarted)
		case err != nil:
			return transferError(x, err, "read the next event")
		case buffered == len(buffer):
			return transferError(x, errors.New("the event exceeds the relay buffer"), "read the next event")
		}
	}
}

// eventTerminator ends an event.
var eventTerminator = []byte("\n\n")

// errNotResumed means that a response does not continue the stream that the caller has
// received so far.
var errNotResumed = errors.New("the response does not continue the stream")

// mediaType returns the media type of a response, without parameters.
func mediaType(resp *http.Response) string {
	name, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// checkResumed checks the first events of a response. If it continues a stream, the ID of
// its first event must follow that of the last event sent.
func (r *relayState) checkResumed(events []byte) error {
	if !r.headSent {
		return nil
	}
	first, _, _ := bytes.Cut(events, eventTerminator)
	id := lastEventID(first)
	last, lastErr := strconv.ParseInt(r.lastEventID, 10, 64)
	n, err := strconv.ParseInt(id, 10, 64)
	switch {
	case id == "" || id == r.lastEventID:
	case lastErr == nil && (err != nil || n <= last):
	default:
		return nil
	}
	return fmt.Errorf("%w: event %q after %q", errNotResumed, id, r.lastEventID)
}

// carriesEvent reports whether a part of a stream has more than comments, which a stalled
// target may go on to send.
func carriesEvent(part []byte) bool {
	for line := range bytes.Lines(part) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// setEventDeadline bounds the wait for the next event if another target can
// resume the stream. Bytes that complete no event don't extend it.
func (g *Gateway) setEventDeadline(x *call, conn *upstream.Conn) error {
	if !x.route.Resumable || len(x.tried) >= x.route.MaxAttempts || x.route.MaxGap <= 0 {
		return nil
	}
	until := time.Now().Add(max(eventWaitFactor*x.route.MaxGap, minResponseWait))
	if limit := x.deadline.Add(deadlineSlack); until.After(limit) {
		until = limit
	}
	return conn.SetReadDeadline(until)
}

// writeEvents writes complete events to the caller.
func (g *Gateway) writeEvents(x *call, resp *http.Response, events []byte) error {
	if !x.relay.headSent {
		g.writeHead(x, resp)
	}
	if _, err := x.w.Write(events); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "the caller disconnected during its response")
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "the caller disconnected during its response")
	}
	x.relay.recordWrite(x.started, time.Now())
	x.relay.eventCount += bytes.Count(events, eventTerminator)
	if id := lastEventID(events); id != "" {
		x.relay.lastEventID = id
	}
	return nil
}

// writeHead sends the response header of a stream.
func (g *Gateway) writeHead(x *call, resp *http.Response) {
	x.relay.headSent, x.relay.mediaType = true, mediaType(resp)
	g.requestMetrics.firstByte.Update(time.Since(x.started).Milliseconds())
	h := x.w.Header()
	for name, values := range g.codec.CallerHeaders(resp.Header) {
		h[name] = values
	}
	x.w.WriteHeader(resp.StatusCode)
}

// endStream completes the response after its target has ended the stream. rest is what
// followed the last complete event, if there was one.
func (g *Gateway) endStream(x *call, d dispatch.Decision, resp *http.Response, rest []byte, hasEvents bool) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return transferError(x, fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF), "read the next event")
	}
	if err := g.confirmEnd(x, d, resp, hasEvents); err != nil {
		return transferError(x, err, "read the next event")
	}
	if !x.relay.headSent {
		g.writeHead(x, resp)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			return errkind.Wrap(errkind.Canceled, err, "the caller disconnected during its response")
		}
	}
	x.relay.finished = true
	return nil
}

// lastEventID returns the ID of the last event that has one, or "".
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		at += len("\nid:")
	case bytes.HasPrefix(events, []byte("id:")):
		at = len("id:")
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events[at:], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
