package target

import (
	"context"
	"sync"
	"time"
)

// maxEnded bounds the ended streams that can still be resumed.
const maxEnded = 1024

// stream is the answer to one request, which readers follow from any byte on.
type stream struct {
	cancel context.CancelFunc
	grace  time.Duration

	mu      sync.Mutex
	data    []byte
	ended   bool
	broken  bool
	readers int
	changed chan struct{}
}

func newStream(cancel context.CancelFunc, grace time.Duration) *stream {
	return &stream{cancel: cancel, grace: grace, changed: make(chan struct{})}
}

func (s *stream) append(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = append(s.data, data...)
	s.wake()
}

// end marks the answer as whole, or as broken off.
func (s *stream) end(broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.broken = true, broken
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// part is what a reader sees of a stream at one moment.
type part struct {
	data          []byte
	ended, broken bool
	changed       <-chan struct{}
}

// from returns all bytes from an offset on.
func (s *stream) from(offset int) part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return part{s.data[min(offset, len(s.data)):], s.ended, s.broken, s.changed}
}

func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach takes a reader away. A stream without readers is cancelled once the
// grace has passed.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.ended {
		return
	}
	time.AfterFunc(s.grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.readers == 0 {
			s.cancel()
		}
	})
}

// streams finds streams by request ID; ended ones are kept up to a bound.
type streams struct {
	mu    sync.Mutex
	byID  map[string]*stream
	ended []endedStream
}

// endedStream is a stream that is kept for readers who come late.
type endedStream struct {
	id     string
	stream *stream
}

// add puts a stream in. It reports false if one of the same ID still runs.
func (s *streams) add(id string, st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.byID[id]; ok && !old.from(0).ended {
		return false
	}
	s.byID[id] = st
	return true
}

func (s *streams) find(id string) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byID[id]
	return st, ok
}

// retire notes that a stream has ended and forgets the oldest ended one if
// there are too many.
func (s *streams) retire(id string, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, endedStream{id, st})
	if len(s.ended) <= maxEnded {
		return
	}
	oldest := s.ended[0]
	s.ended = s.ended[1:]
	if s.byID[oldest.id] == oldest.stream {
		delete(s.byID, oldest.id)
	}
}
