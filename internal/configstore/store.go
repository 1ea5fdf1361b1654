package configstore

import (
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Store holds the configuration in force in this process. Its number only
// rises.
type Store struct {
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Number returns the number of the configuration in force, 0 for none.
func (s *Store) Number() uint64 {
	if c := s.Current(); c != nil {
		return c.Number
	}
	return 0
}

// Changed returns a channel that is closed when a higher number is applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts a configuration in force unless its number is not above the
// present one. It reports whether it did.
func (s *Store) Apply(doc *zinniaquayv1.Configuration) bool {
	next := NewSnapshot(doc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && next.Number <= s.current.Number {
		return false
	}
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
