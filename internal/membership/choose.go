package membership

import (
	"cmp"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// WatchersPerZone is the number of processes of each availability zone that
// watch the platform for the others.
const WatchersPerZone = 2

// Size returns the number of members that are not gone. The process itself
// counts to its end, also once it has called itself gone.
func (l *List) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ring()) + 1
}

// Zones returns the number of availability zones with members that are not gone.
func (l *List) Zones() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	zones := make(map[string]bool)
	for _, r := range l.records {
		if goneCount(r) == 0 {
			zones[r.member.GetZone()] = true
		}
	}
	return len(zones)
}

// IsWatcher reports whether the process is one of the watchers of its zone: the
// first few by rendezvous hashing among the live members of the zone that
// answer. When a watcher goes, the next one takes over by itself.
func (l *List) IsWatcher(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := l.records[l.self]
	if self.member.GetState() != zinniaquayv1.Member_live {
		return false
	}
	ahead := 0
	for _, r := range l.ring() {
		if r.watchRank <= self.watchRank || r.member.GetZone() != self.member.GetZone() {
			continue
		}
		if r.member.GetState() == zinniaquayv1.Member_live && l.reachable(r.member.GetName(), now) {
			ahead++
		}
	}
	return ahead < WatchersPerZone
}

// Neighbours returns the few members that the process compares itself with all
// the time: the ones that follow it on a ring of all members, and the one
// opposite. Members that do not answer are passed over while others do.
func (l *List) Neighbours(count int, now time.Time) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	ring := l.ring()
	answers := func(m *zinniaquayv1.Member) bool { return l.reachable(m.GetName(), now) }
	chosen := addFirst(nil, ring, count-1, answers)
	chosen = addFirst(chosen, ring[len(ring)/2:], count, answers)
	return addFirst(chosen, ring, count, func(*zinniaquayv1.Member) bool { return true })
}

// addFirst adds the first members that qualify until there are count.
func addFirst(chosen []*zinniaquayv1.Member, from []record, count int, qualifies func(*zinniaquayv1.Member) bool) []*zinniaquayv1.Member {
	for _, r := range from {
		if len(chosen) >= count {
			break
		}
		if qualifies(r.member) && !slices.Contains(chosen, r.member) {
			chosen = append(chosen, r.member)
		}
	}
	return chosen
}

// Peers returns all other members that are not gone and that answer, in the
// order of the ring after the process.
func (l *List) Peers(now time.Time) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var peers []*zinniaquayv1.Member
	for _, r := range l.ring() {
		if l.reachable(r.member.GetName(), now) {
			peers = append(peers, r.member)
		}
	}
	return peers
}

// ring returns the other members that are not gone, beginning after the process.
// It is kept until a record changes. The caller holds the lock.
func (l *List) ring() []record {
	if l.sorted != nil {
		return l.sorted
	}
	own := l.records[l.self].place
	l.sorted = make([]record, 0, len(l.records))
	for name, r := range l.records {
		if name != l.self && goneCount(r) == 0 {
			l.sorted = append(l.sorted, r)
		}
	}
	slices.SortFunc(l.sorted, func(a, b record) int {
		// Subtraction wraps, so that places are counted from the process's own.
		if c := cmp.Compare(a.place-own, b.place-own); c != 0 {
			return c
		}
		return cmp.Compare(a.member.GetName(), b.member.GetName())
	})
	return l.sorted
}
