package router

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// writeTimeout is the longest time that a caller may take to read one part.
const writeTimeout = 10 * time.Second

// errAnswerBegun marks an error that came after the answer's head was sent.
var errAnswerBegun = errors.New("answer begun")

// sink writes an answer to the caller. It accepts chunks in order only.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// next is the number of the chunk that is due.
	next uint64
}

// newSink returns a sink that has written nothing.
func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, control: http.NewResponseController(w)}
}

// begun reports whether the caller has seen a part of the answer.
func (s *sink) begun() bool { return s.next > 0 }

// accept writes one chunk and passes it on to the caller at once.
func (s *sink) accept(c *zinniaquayv1.Chunk) error {
	if c.GetNumber() != s.next {
		return fmt.Errorf("chunk %d came where %d was due", c.GetNumber(), s.next)
	}
	if err := s.write(c); err != nil {
		return err
	}
	s.next += 1 + uint64(c.GetMerged())
	return nil
}

// write writes the part of a chunk that callers see.
func (s *sink) write(c *zinniaquayv1.Chunk) error {
	// A writer without deadlines can't time out; the request's own deadline
	// bounds it.
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	switch part := c.GetPart().(type) {
	case *zinniaquayv1.Chunk_Head:
		for _, h := range part.Head.GetHeaders() {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
		s.w.WriteHeader(int(part.Head.GetStatus()))
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
