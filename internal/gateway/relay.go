package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/upstream"
)

// relay is how far an answer has come to its caller.
type relay struct {
	// begun says that the caller has the head of the answer.
	begun bool
	// closed says that the answer is complete or must not go on.
	closed bool
	// lastEvent is the ID of the last event that the caller has.
	lastEvent string
	events    int
	// first is the time from the request's start to the first byte of its
	// answer, and longestGap the longest pause between events.
	first, longestGap time.Duration
	lastAt            time.Time
}

// note notes that bytes of the answer went to the caller.
func (r *relay) note(started, now time.Time) {
	if r.lastAt.IsZero() {
		r.first = now.Sub(started)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

const (
	// relayBytes is the size of the buffer that events pass through. An event
	// that does not fit is an error.
	relayBytes = 32 << 10
	// eventSilenceFactor is how many pauses between events a resumable stream
	// waits before it goes on at another target.
	eventSilenceFactor = 4
)

var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBytes); return &b }}

// relayStream passes the events of a stream on as they come, whole events only.
func (g *Gateway) relayStream(x *call, d dispatch.Decision, conn *upstream.Conn, resp *http.Response) error {
	pooled := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(pooled)
	buffer, held, began := *pooled, 0, false
	for {
		if err := g.setEventDeadline(x, conn); err != nil {
			return broken(x, err, "set a deadline")
		}
		n, err := resp.Body.Read(buffer[held:])
		held += n
		if last := bytes.LastIndex(buffer[:held], eventEnd); last >= 0 {
			whole := last + len(eventEnd)
			if !began {
				began = true
				g.scheduler.began(d.Request.Sequence)
			}
			if err := g.passOn(x, resp, buffer[:whole]); err != nil {
				return err
			}
			held = copy(buffer, buffer[whole:held])
		}
		switch {
		case errors.Is(err, io.EOF):
			return g.endStream(x, resp, buffer[:held])
		case err != nil:
			return broken(x, err, "read the next event")
		case held == len(buffer):
			return broken(x, errors.New("an event is too long"), "read the next event")
		}
	}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// setEventDeadline bounds the wait for the next event where another target can
// go on.
func (g *Gateway) setEventDeadline(x *call, conn *upstream.Conn) error {
	if !x.route.Resumable || len(x.tried) >= x.route.MaxAttempts || x.route.MaxGap <= 0 {
		return nil
	}
	until := time.Now().Add(max(eventSilenceFactor*x.route.MaxGap, leastSilence))
	if limit := x.deadline.Add(deadlineSlack); until.After(limit) {
		until = limit
	}
	return conn.SetReadDeadline(until)
}

// passOn writes whole events to the caller.
func (g *Gateway) passOn(x *call, resp *http.Response, events []byte) error {
	if !x.relay.begun {
		g.begin(x, resp)
	}
	if _, err := x.w.Write(events); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "the caller left during its answer")
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "the caller left during its answer")
	}
	x.relay.note(x.started, time.Now())
	x.relay.events += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		x.relay.lastEvent = id
	}
	return nil
}

// begin sends the head of a stream.
func (g *Gateway) begin(x *call, resp *http.Response) {
	x.relay.begun = true
	g.counts.firstByte.Update(time.Since(x.started).Milliseconds())
	h := x.w.Header()
	for name, values := range g.dialect.CallerHeaders(resp.Header) {
		h[name] = values
	}
	x.w.WriteHeader(resp.StatusCode)
}

// endStream ends a stream that its target has ended.
func (g *Gateway) endStream(x *call, resp *http.Response, rest []byte) error {
	if !x.relay.begun {
		g.begin(x, resp)
	}
	if len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			return errkind.Wrap(errkind.Canceled, err, "the caller left during its answer")
		}
	}
	x.relay.closed = true
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
