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
	// writeTimeout is the longest time that a caller may take to read one part.
	writeTimeout = 10 * time.Second
	// maxStatus is the largest HTTP status.
	maxStatus = 599
)

var (
	// errAnswerBegun marks an error that came after the answer's head was sent.
	errAnswerBegun = errors.New("answer begun")
	// errOutOfOrder means that a connection carries other chunks than were asked
	// for. The answer is resumed on a new one.
	errOutOfOrder = errors.New("chunk out of order")
)

// sink writes an answer to the caller. It accepts chunks in order only.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// next is the number of the chunk that is due.
	next uint64
	// wrote says that the caller may have seen a part of the answer.
	wrote bool
	// events says that the answer is a stream of server-sent events.
	events bool
	// recorder copies the answer of a request with an idempotency key, whose
	// caller may go before the answer has come.
	recorder *recorder
	// gone is why the caller of such a request can't be written to.
	gone error
}

// newSink returns a sink that has written nothing.
func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, control: http.NewResponseController(w)}
}

// begun reports whether the caller may have seen a part of the answer.
func (s *sink) begun() bool { return s.wrote }

// accept writes one chunk and passes it on to the caller at once. A chunk that
// came before is dropped.
func (s *sink) accept(c *zinniaquayv1.Chunk) error {
	after := c.GetNumber() + 1 + uint64(c.GetMerged())
	if after <= s.next {
		return nil
	}
	if err := s.check(c); err != nil {
		return err
	}
	if err := s.pass(c); err != nil {
		return &callerError{err: err}
	}
	s.next = after
	return nil
}

// check makes sure that a chunk is the one that is due.
func (s *sink) check(c *zinniaquayv1.Chunk) error {
	head := c.GetHead()
	switch {
	case c.GetNumber() != s.next:
		return fmt.Errorf("%w: %d came where %d was due", errOutOfOrder, c.GetNumber(), s.next)
	case (head != nil) != (s.next == 0):
		return fmt.Errorf("%w: chunk %d is of the wrong sort", errOutOfOrder, c.GetNumber())
	case head != nil && (head.GetStatus() < http.StatusOK || head.GetStatus() > maxStatus):
		return fmt.Errorf("%w: status %d", errOutOfOrder, head.GetStatus())
	}
	return nil
}

// pass passes a chunk on to the recorder and the caller. The caller of a
// recorded answer may go without ending it.
func (s *sink) pass(c *zinniaquayv1.Chunk) error {
	if s.recorder == nil {
		return s.write(c)
	}
	s.recorder.add(c)
	if s.gone == nil {
		s.gone = s.write(c)
	}
	return nil
}

// write writes the part of a chunk that callers see.
func (s *sink) write(c *zinniaquayv1.Chunk) error {
	s.wrote = true
	// A writer without deadlines can't time out; the request's own deadline
	// bounds it.
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

// writeHead writes the status and headers of an answer.
func (s *sink) writeHead(head *zinniaquayv1.Head) {
	for _, h := range head.GetHeaders() {
		s.w.Header().Add(h.GetName(), h.GetValue())
	}
	if head.GetStatus() == http.StatusNoContent {
		// An answer without a body has no length, whatever the target says.
		s.w.Header().Del("Content-Length")
	}
	s.events = strings.HasPrefix(s.w.Header().Get("Content-Type"), "text/event-stream")
	s.w.WriteHeader(int(head.GetStatus()))
}

// fail tells the caller of a stream that was begun why it ends. The connection
// is cut all the same, so that the answer can't look complete.
func (s *sink) fail(err error) {
	if !s.events || s.gone != nil {
		return
	}
	body, jsonErr := json.Marshal(errkind.BodyOf(err))
	if jsonErr != nil {
		return
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	// The caller may have gone; there is nobody left to tell.
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", body)
	_ = s.control.Flush()
}

// end notes that the whole answer has passed.
func (s *sink) end() error {
	if s.recorder != nil {
		s.recorder.whole = true
	}
	if s.gone != nil {
		return begunError(errkind.Wrap(errkind.Canceled, s.gone, "the caller has gone"))
	}
	return nil
}

// begunError marks an error that comes after the caller has seen a part of the
// answer.
func begunError(err error) error { return fmt.Errorf("%w: %w", errAnswerBegun, err) }
