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
	// MaxGone is the number of members that are remembered as gone. The ones of
	// the oldest incarnations are forgotten first.
	MaxGone = 1024
	// UnreachableFor is how long a member that did not answer is passed over.
	UnreachableFor = 30 * time.Second
)

// List is what one process knows of the fleet's members. Its methods may be
// called by several goroutines, and the members that it returns must not be
// changed.
type List struct {
	mu      sync.Mutex
	self    string
	records map[string]record
	digest  uint64
	gone    int
	changed chan struct{}
	// sorted is the ring of other members, or nil where it has to be made.
	sorted []record
	// unreachable is when a member last failed to answer this process.
	unreachable map[string]time.Time
	// absentSince is when the platform's list first lacked a member.
	absentSince map[string]time.Time
}

// NewList returns a list that holds the process itself.
func NewList(self *zinniaquayv1.Member) *List {
	l := &List{
		self:        self.GetName(),
		records:     make(map[string]record),
		changed:     make(chan struct{}),
		unreachable: make(map[string]time.Time),
		absentSince: make(map[string]time.Time),
	}
	l.put(newRecord(proto.CloneOf(self)))
	return l
}

// Self returns the process's own record.
func (l *List) Self() *zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[l.self].member
}

// SetSelf announces a state of the process itself. States only rise.
func (l *List) SetSelf(state zinniaquayv1.Member_State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := proto.CloneOf(l.records[l.self].member)
	next.State = max(next.State, state)
	l.put(newRecord(next))
	l.wake()
}

// Merge takes in records and returns those that were news, the process's own
// included where it had to refute a report that it is gone or leaving.
func (l *List) Merge(members []*zinniaquayv1.Member) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []*zinniaquayv1.Member
	for _, m := range members {
		if m.GetName() == "" {
			continue
		}
		if m.GetName() == l.self {
			if l.refute(m) {
				news = append(news, l.records[l.self].member)
			}
			continue
		}
		r := newRecord(m)
		if known, ok := l.records[m.GetName()]; ok && compare(r, known) <= 0 {
			continue
		}
		l.put(r)
		news = append(news, m)
	}
	if len(news) > 0 {
		l.forget()
		l.wake()
	}
	// What was forgotten again at once must not be passed on, or it would
	// circle for ever.
	return slices.DeleteFunc(news, func(m *zinniaquayv1.Member) bool {
		_, kept := l.records[m.GetName()]
		return !kept
	})
}

// refute outranks a report of the process itself that it did not make. A report
// of a later incarnation of its name is left alone: that is another process.
func (l *List) refute(report *zinniaquayv1.Member) bool {
	own := l.records[l.self]
	if report.GetIncarnation() != own.member.GetIncarnation() || compare(newRecord(report), own) <= 0 {
		return false
	}
	next := proto.CloneOf(own.member)
	next.Renewal = report.GetRenewal() + 1
	l.put(newRecord(next))
	return true
}

// put replaces a record and keeps digest and counts.
func (l *List) put(r record) {
	if old, ok := l.records[r.member.GetName()]; ok {
		l.digest -= old.hash
		l.gone -= goneCount(old)
	}
	l.sorted = nil
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

// forget drops the oldest gone members over MaxGone. The choice depends on the
// records alone, so that processes with equal records forget the same ones.
func (l *List) forget() {
	for l.gone > MaxGone {
		var oldest record
		for _, r := range l.records {
			if goneCount(r) == 1 && (oldest.member == nil || olderThan(r, oldest)) {
				oldest = r
			}
		}
		name := oldest.member.GetName()
		l.sorted = nil
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

func (l *List) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a record changes.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Digest returns a digest of all records. Lists with equal digests are equal.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// All returns all records, those of gone members included, by name.
func (l *List) All() []*zinniaquayv1.Member {
	return l.filter(func(*zinniaquayv1.Member) bool { return true })
}

// Live returns the live members of a role, by name.
func (l *List) Live(role zinniaquayv1.Member_Role) []*zinniaquayv1.Member {
	return l.filter(func(m *zinniaquayv1.Member) bool {
		return m.GetRole() == role && m.GetState() == zinniaquayv1.Member_live
	})
}

// Get returns what is known of a member.
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

// SetReachable notes whether a member answered this process. It is this
// process's own view and never passed on.
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
	return !ok || now.Sub(failed) >= UnreachableFor
}
