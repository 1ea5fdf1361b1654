package configstore

import (
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Store holds the current configuration of this process. Its number never
// decreases.
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

// Current returns the current configuration, or nil if there is none yet.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Number returns the number of the current configuration, 0 for none.
func (s *Store) Number() uint64 { return s.Current().number() }

// Changed returns a channel that is closed when a configuration with a higher
// number is applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply replaces the current configuration if the number of the new one is
// higher. It reports whether it did.
func (s *Store) Apply(doc *zinniaquayv1.Configuration) bool {
	return s.replaceIfNewer(NewSnapshot(doc), deltas{last: doc.GetNumber()})
}

// ApplyRecord replaces the current configuration by that of a stored record if
// the record's number is higher. It reports whether it did.
func (s *Store) ApplyRecord(r *Record) bool {
	if r.Number() <= s.Number() {
		return false
	}
	return s.replaceIfNewer(NewSnapshot(r.Doc()), deltasFromRecord(r))
}

// replaceIfNewer is the only place where the current configuration changes.
func (s *Store) replaceIfNewer(next *Snapshot, patches deltas) bool {
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
