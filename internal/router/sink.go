package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

const (
	// writeTimeout is how long a caller may take to read one chunk.
	writeTimeout = 10 * time.Second
	// maxStatus is the largest valid HTTP status.
	maxStatus = 599
)

var (
	// errResponseStarted marks an error that occurred after the response headers
	// were sent.
	errResponseStarted = errors.New("response already started")
	// errOutOfOrder means that a connection carries other chunks than those that
	// were requested. The response is resumed on a new connection.
	errOutOfOrder = errors.New("chunk out of order")
)

// sink writes a response to the caller. It accepts chunks in order only.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// nextChunk is the number of the next expected chunk.
	nextChunk uint64
	// wrote is set once the caller may have received a part of the response.
	wrote bool
	// eventStream is set if the response is a stream of server-sent events.
	eventStream bool
	// recorder copies the response of a request with an idempotency key, whose
	// caller may disconnect before the response is complete. Otherwise it is
	// nil.
	recorder *recorder
	// writeErr is the first error of writing a recorded response to the caller.
	writeErr error
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, control: http.NewResponseController(w)}
}

// started reports whether the caller may have received a part of the response.
func (s *sink) started() bool { return s.wrote }

// accept writes one chunk and flushes it to the caller. A chunk that was
// accepted before is ignored.
func (s *sink) accept(c *zinniaquayv1.Chunk) error {
	following := c.GetNumber() + 1 + uint64(c.GetMerged())
	if following <= s.nextChunk {
		return nil
	}
	if err := s.checkOrder(c); err != nil {
		return err
	}
	if err := s.forward(c); err != nil {
		return &callerError{err: err}
	}
	s.nextChunk = following
	return nil
}

// checkOrder returns an error if a chunk is not the expected one.
func (s *sink) checkOrder(c *zinniaquayv1.Chunk) error {
	head := c.GetHead()
	switch {
	case c.GetNumber() != s.nextChunk:
		return fmt.Errorf("%w: got chunk %d, want %d", errOutOfOrder, c.GetNumber(), s.nextChunk)
	case (head != nil) != (s.nextChunk == 0):
		return fmt.Errorf("%w: chunk %d has the wrong type", errOutOfOrder, c.GetNumber())
	case head != nil && (head.GetStatus() < http.StatusOK || head.GetStatus() > maxStatus):
		return fmt.Errorf("%w: invalid status %d", errOutOfOrder, head.GetStatus())
	}
	return nil
}

// forward passes a chunk to the recorder and the caller. A recorded response
// continues if its caller disconnects.
func (s *sink) forward(c *zinniaquayv1.Chunk) error {
	if s.recorder == nil {
		return s.write(c)
	}
	s.recorder.add(c)
	if s.writeErr == nil {
		s.writeErr = s.write(c)
	}
	return nil
}

// write writes the part of a chunk that callers receive.
func (s *sink) write(c *zinniaquayv1.Chunk) error {
	s.wrote = true
	// Ignore the error of a writer that does not support deadlines. The request's
	// own deadline limits the write.
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	switch part := c.GetPart().(type) {
	case *zinniaquayv1.Chunk_Head:
		s.writeHead(part.Head)
	case *zinniaquayv1.Chunk_Body:
		if _, err := s.w.Write(part.Body); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush to caller: %w", err)
	}
	return nil
}

// writeHead writes the status and headers of a response.
func (s *sink) writeHead(head *zinniaquayv1.Head) {
	for _, h := range head.GetHeaders() {
		s.w.Header().Add(h.GetName(), h.GetValue())
	}
	if head.GetStatus() == http.StatusNoContent {
		// A 204 response has no Content-Length, even if the target sends one.
		s.w.Header().Del("Content-Length")
	}
	s.eventStream = strings.HasPrefix(s.w.Header().Get("Content-Type"), "text/event-stream")
	s.w.WriteHeader(int(head.GetStatus()))
}

// sendError writes the error as the last event if the response is an event
// stream. The connection is aborted nevertheless, so that the response does
// not look complete.
func (s *sink) sendError(err error) {
	if !s.eventStream || s.writeErr != nil {
		return
	}
	body, jsonErr := json.Marshal(errkind.BodyOf(err))
	if jsonErr != nil {
		return
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	// The caller may have disconnected, so the error is ignored.
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", body)
	_ = s.control.Flush()
}

// finish marks the response as complete. It returns an error if the caller
// disconnected before.
func (s *sink) finish() error {
	if s.recorder != nil {
		s.recorder.complete = true
	}
	if s.writeErr != nil {
		return startedError(errkind.Wrap(errkind.Canceled, s.writeErr, "the caller has gone"))
	}
	return nil
}

// startedError marks an error that occurs after the caller has received a part
// of the response.
func startedError(err error) error { return fmt.Errorf("%w: %w", errResponseStarted, err) }
