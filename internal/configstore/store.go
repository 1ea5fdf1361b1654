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
	deltas  deltas
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
func (s *Store) Number() uint64 { return s.Current().number() }

// Changed returns a channel that is closed when a higher number is applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts a configuration in force unless its number is not above the
// present one. It reports whether it did.
func (s *Store) Apply(doc *zinniaquayv1.Configuration) bool {
	return s.put(NewSnapshot(doc), deltas{last: doc.GetNumber()})
}

// ApplyRecord puts a record of the platform in force unless its number is not
// above the present one. It reports whether it did.
func (s *Store) ApplyRecord(r *Record) bool {
	if r.Number() <= s.Number() {
		return false
	}
	return s.put(NewSnapshot(r.Doc()), deltasOf(r))
}

// put is the only place where a configuration comes into force.
func (s *Store) put(next *Snapshot, patches deltas) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Number <= s.current.number() {
		return false
	}
	s.current, s.deltas = next, patches
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
