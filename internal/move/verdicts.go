package move

import (
	"cmp"
	"slices"
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// VerdictSet holds the verdicts on all moves that a process has. They never
// revert: no verdict of a peer makes a bad version good or a level lower. It is
// safe for concurrent use.
type VerdictSet struct {
	mu       sync.Mutex
	verdicts map[uint64]*zinniaquayv1.Verdict
	changed  chan struct{}
}

// NewVerdictSet returns an empty set.
func NewVerdictSet() *VerdictSet {
	return &VerdictSet{verdicts: make(map[uint64]*zinniaquayv1.Verdict), changed: make(chan struct{})}
}

// Add merges verdicts and reports whether the set changed. The verdicts must
// not be changed afterwards.
func (s *VerdictSet) Add(verdicts ...*zinniaquayv1.Verdict) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	updated := false
	for _, v := range verdicts {
		known := s.verdicts[v.GetMoveDigest()]
		if merged := Merge(known, v); merged != known {
			s.verdicts[v.GetMoveDigest()] = merged
			updated = true
		}
	}
	if updated {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return updated
}

// MergeVerdicts merges the verdicts of a peer.
func (s *VerdictSet) MergeVerdicts(verdicts []*zinniaquayv1.Verdict) { s.Add(verdicts...) }

// VerdictsChanged returns a channel that is closed when the set changes.
func (s *VerdictSet) VerdictsChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Verdict returns the verdict on a move, or nil.
func (s *VerdictSet) Verdict(d Declaration) *zinniaquayv1.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts[d.Digest()]
}

// Bad reports whether there is a bad verdict on the new version of a move.
func (s *VerdictSet) Bad(d Declaration) bool {
	v := s.Verdict(d)
	return v != nil && !v.GetCleared()
}

// Verdicts returns all verdicts. They must not be changed.
func (s *VerdictSet) Verdicts() []*zinniaquayv1.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*zinniaquayv1.Verdict, 0, len(s.verdicts))
	for _, v := range s.verdicts {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *zinniaquayv1.Verdict) int {
		return cmp.Compare(a.GetMoveDigest(), b.GetMoveDigest())
	})
	return list
}

// Retain removes verdicts on moves that are no longer declared.
func (s *VerdictSet) Retain(declared []Declaration) {
	digests := make(map[uint64]bool, len(declared))
	for _, d := range declared {
		digests[d.Digest()] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest := range s.verdicts {
		if !digests[digest] {
			delete(s.verdicts, digest)
		}
	}
}
