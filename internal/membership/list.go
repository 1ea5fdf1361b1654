package membership

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// MaxGoneMembers limits the number of gone members whose records are kept. Those
	// with the oldest incarnations are removed first.
	MaxGoneMembers = 1024
	// UnreachableDuration is the time for which a member counts as unreachable
	// after it failed to respond.
	UnreachableDuration = 30 * time.Second
)

// List is one process's view of the fleet's members. Its methods are safe for
// concurrent use. The members that it returns must not be changed.
type List struct {
	mu      sync.Mutex
	self    string
	records map[string]record
	digest  uint64
	gone    int
	changed chan struct{}
	// cachedRing is the ring of other members, or nil if it must be rebuilt.
	cachedRing []record
	// unreachable is the last time that a member failed to respond to this
	// process.
	unreachable map[string]time.Time
	// absentSince is the time since which a member has been missing from the
	// platform's list.
	absentSince map[string]time.Time
}

// NewList returns a list with the record of the process itself.
func NewList(self *zinniaquayv1.Member) *List {
	l := &List{
		self:        self.GetName(),
		records:     make(map[string]record),
		changed:     make(chan struct{}),
		unreachable: make(map[string]time.Time),
		absentSince: make(map[string]time.Time),
	}
	l.replaceRecord(newRecord(proto.CloneOf(self)))
	return l
}

// Self returns the process's own record.
func (l *List) Self() *zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[l.self].member
}

// SetSelf sets the state of the process itself. The state never decreases.
func (l *List) SetSelf(state zinniaquayv1.Member_State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := proto.CloneOf(l.records[l.self].member)
	next.State = max(next.State, state)
	l.replaceRecord(newRecord(next))
	l.notifyChanged()
}

// Merge merges records and returns those that changed the list. They include the
// process's own record if it refuted a report that it is gone or leaving.
func (l *List) Merge(members []*zinniaquayv1.Member) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var updates []*zinniaquayv1.Member
	for _, m := range members {
		if m.GetName() == "" {
			continue
		}
		if m.GetName() == l.self {
			if l.refute(m) {
				updates = append(updates, l.records[l.self].member)
			}
			continue
		}
		r := newRecord(m)
		if known, ok := l.records[m.GetName()]; ok && compare(r, known) <= 0 {
			continue
		}
		l.replaceRecord(r)
		updates = append(updates, m)
	}
	if len(updates) > 0 {
		l.evictOldestGone()
		l.notifyChanged()
	}
	// A record that was evicted at once must not be forwarded, or it would
	// circulate between the processes for ever.
	return slices.DeleteFunc(updates, func(m *zinniaquayv1.Member) bool {
		_, kept := l.records[m.GetName()]
		return !kept
	})
}

// refute overrides a report about the process that did not come from it, by a
// higher renewal, and reports whether it did. A report of another incarnation is
// ignored, because a later one belongs to another process of the same name.
func (l *List) refute(report *zinniaquayv1.Member) bool {
	own := l.records[l.self]
	if report.GetIncarnation() != own.member.GetIncarnation() || compare(newRecord(report), own) <= 0 {
		return false
	}
	next := proto.CloneOf(own.member)
	next.Renewal = report.GetRenewal() + 1
	l.replaceRecord(newRecord(next))
	return true
}

// replaceRecord adds or replaces a record and updates the digest and the count of
// gone members.
func (l *List) replaceRecord(r record) {
	if old, ok := l.records[r.member.GetName()]; ok {
		l.digest -= old.hash
		l.gone -= goneCount(old)
	}
	l.cachedRing = nil
	l.records[r.member.GetName()] = r
	l.digest += r.hash
	l.gone += goneCount(r)
}

func goneCount(r record) int {
	if r.member.GetState() == zinniaquayv1.Member_gone {
		return 1
	}
	return 0
}

// evictOldestGone removes the oldest gone members beyond MaxGoneMembers. The choice
// depends only on the records, so that processes with equal records remove the
// same ones.
func (l *List) evictOldestGone() {
	for l.gone > MaxGoneMembers {
		var oldest record
		for _, r := range l.records {
			if goneCount(r) == 1 && (oldest.member == nil || olderThan(r, oldest)) {
				oldest = r
			}
		}
		name := oldest.member.GetName()
		l.cachedRing = nil
		delete(l.records, name)
		delete(l.unreachable, name)
		delete(l.absentSince, name)
		l.digest -= oldest.hash
		l.gone--
	}
}

func olderThan(a, b record) bool {
	return cmp.Or(
		cmp.Compare(a.member.GetIncarnation(), b.member.GetIncarnation()),
		strings.Compare(a.member.GetName(), b.member.GetName()),
	) < 0
}

func (l *List) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a record changes.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Digest returns a digest of all records. Lists with equal digests are taken to be
// equal.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// All returns all members, gone ones included, sorted by name.
func (l *List) All() []*zinniaquayv1.Member {
	return l.filter(func(*zinniaquayv1.Member) bool { return true })
}

// Live returns the live members with a role, sorted by name.
func (l *List) Live(role zinniaquayv1.Member_Role) []*zinniaquayv1.Member {
	return l.filter(func(m *zinniaquayv1.Member) bool {
		return m.GetRole() == role && m.GetState() == zinniaquayv1.Member_live
	})
}

// Get returns a member's record.
func (l *List) Get(name string) (*zinniaquayv1.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[name]
	return r.member, ok
}

func (l *List) filter(keep func(*zinniaquayv1.Member) bool) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []*zinniaquayv1.Member
	for _, r := range l.records {
		if keep(r.member) {
			members = append(members, r.member)
		}
	}
	slices.SortFunc(members, func(a, b *zinniaquayv1.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	return members
}

// SetReachable records whether a member responded to this process. It is local to
// this process and never sent to others.
func (l *List) SetReachable(name string, reachable bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reachable {
		delete(l.unreachable, name)
		return
	}
	if _, ok := l.records[name]; ok {
		l.unreachable[name] = now
	}
}

func (l *List) reachable(name string, now time.Time) bool {
	failed, ok := l.unreachable[name]
	return !ok || now.Sub(failed) >= UnreachableDuration
}
