package move

import (
	"cmp"
	"slices"
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// VerdictSet is what a process knows of the conclusions on all moves. It only
// ever learns: nothing that a peer says makes a bad version good or a level
// lower. It is safe for concurrent use.
type VerdictSet struct {
	mu       sync.Mutex
	verdicts map[uint64]*zinniaquayv1.Verdict
	changed  chan struct{}
}

// NewVerdictSet returns empty knowledge.
func NewVerdictSet() *VerdictSet {
	return &VerdictSet{verdicts: make(map[uint64]*zinniaquayv1.Verdict), changed: make(chan struct{})}
}

// Add merges verdicts and reports whether anything was new. The verdicts must
// not be changed afterwards.
func (k *VerdictSet) Add(verdicts ...*zinniaquayv1.Verdict) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := false
	for _, v := range verdicts {
		known := k.verdicts[v.GetMoveDigest()]
		if merged := Merge(known, v); merged != known {
			k.verdicts[v.GetMoveDigest()] = merged
			news = true
		}
	}
	if news {
		close(k.changed)
		k.changed = make(chan struct{})
	}
	return news
}

// MergeVerdicts merges what a peer knows.
func (k *VerdictSet) MergeVerdicts(verdicts []*zinniaquayv1.Verdict) { k.Add(verdicts...) }

// VerdictsChanged returns a channel that is closed when something is learnt.
func (k *VerdictSet) VerdictsChanged() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Verdict returns what is known of a move, or nil.
func (k *VerdictSet) Verdict(d Declaration) *zinniaquayv1.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.verdicts[d.Digest()]
}

// Bad reports whether the new version of a move is known to be bad.
func (k *VerdictSet) Bad(d Declaration) bool {
	v := k.Verdict(d)
	return v != nil && !v.GetCleared()
}

// Verdicts returns all verdicts, for peers. They must not be changed.
func (k *VerdictSet) Verdicts() []*zinniaquayv1.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]*zinniaquayv1.Verdict, 0, len(k.verdicts))
	for _, v := range k.verdicts {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *zinniaquayv1.Verdict) int {
		return cmp.Compare(a.GetMoveDigest(), b.GetMoveDigest())
	})
	return list
}

// Retain forgets verdicts on moves that are not declared any more.
func (k *VerdictSet) Retain(declared []Declaration) {
	digests := make(map[uint64]bool, len(declared))
	for _, d := range declared {
		digests[d.Digest()] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for digest := range k.verdicts {
		if !digests[digest] {
			delete(k.verdicts, digest)
		}
	}
}
