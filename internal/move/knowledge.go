package move

import (
	"cmp"
	"slices"
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Knowledge is what a process knows of the conclusions on all moves. It only
// ever learns: nothing that a peer says makes a bad version good or a level
// lower. It is safe for concurrent use.
type Knowledge struct {
	mu       sync.Mutex
	verdicts map[uint64]*zinniaquayv1.Verdict
	changed  chan struct{}
}

// NewKnowledge returns empty knowledge.
func NewKnowledge() *Knowledge {
	return &Knowledge{verdicts: make(map[uint64]*zinniaquayv1.Verdict), changed: make(chan struct{})}
}

// Learn merges verdicts and reports whether anything was new. The verdicts must
// not be changed afterwards.
func (k *Knowledge) Learn(verdicts ...*zinniaquayv1.Verdict) bool {
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
func (k *Knowledge) MergeVerdicts(verdicts []*zinniaquayv1.Verdict) { k.Learn(verdicts...) }

// VerdictsChanged returns a channel that is closed when something is learnt.
func (k *Knowledge) VerdictsChanged() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Verdict returns what is known of a move, or nil.
func (k *Knowledge) Verdict(d Declaration) *zinniaquayv1.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.verdicts[d.Digest()]
}

// Bad reports whether the new version of a move is known to be bad.
func (k *Knowledge) Bad(d Declaration) bool {
	v := k.Verdict(d)
	return v != nil && !v.GetCleared()
}

// Verdicts returns all verdicts, for peers. They must not be changed.
func (k *Knowledge) Verdicts() []*zinniaquayv1.Verdict {
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

// Keep forgets verdicts on moves that are not declared any more.
func (k *Knowledge) Keep(declared []Declaration) {
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
