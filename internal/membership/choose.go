package membership

import (
	"cmp"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// WatchersPerZone is the number of processes in each availability zone that
// watch the platform on behalf of the others.
const WatchersPerZone = 2

// Size returns the number of members that are not gone. The process itself is
// always counted, even after it has set its own state to gone.
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
// first WatchersPerZone by rendezvous hashing among the live, reachable members
// of the zone. When a watcher leaves or fails, the next member replaces it
// without coordination.
func (l *List) IsWatcher(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := l.records[l.self]
	if self.member.GetState() != zinniaquayv1.Member_live {
		return false
	}
	higherRanked := 0
	for _, r := range l.ring() {
		if r.watchRank <= self.watchRank || r.member.GetZone() != self.member.GetZone() {
			continue
		}
		if r.member.GetState() == zinniaquayv1.Member_live && l.reachable(r.member.GetName(), now) {
			higherRanked++
		}
	}
	return higherRanked < WatchersPerZone
}

// Neighbours returns up to count members that the process regularly compares its
// state with: the next count-1 on the ring of members that are not gone, and one
// on the opposite side of the ring. Unreachable members are used only if there
// are too few reachable ones.
func (l *List) Neighbours(count int, now time.Time) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	ring := l.ring()
	isReachable := func(m *zinniaquayv1.Member) bool { return l.reachable(m.GetName(), now) }
	chosen := appendFirst(nil, ring, count-1, isReachable)
	chosen = appendFirst(chosen, ring[len(ring)/2:], count, isReachable)
	return appendFirst(chosen, ring, count, func(*zinniaquayv1.Member) bool { return true })
}

// appendFirst appends the first members that qualify until chosen has count
// members.
func appendFirst(chosen []*zinniaquayv1.Member, from []record, count int, qualifies func(*zinniaquayv1.Member) bool) []*zinniaquayv1.Member {
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

// Peers returns all other members that are not gone and are reachable, in ring
// order starting after the process.
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

// ring returns the other members that are not gone, in ring order starting after
// the process. The result is cached until a record changes. The caller must hold
// the lock.
func (l *List) ring() []record {
	if l.cachedRing != nil {
		return l.cachedRing
	}
	own := l.records[l.self].ringPosition
	l.cachedRing = make([]record, 0, len(l.records))
	for name, r := range l.records {
		if name != l.self && goneCount(r) == 0 {
			l.cachedRing = append(l.cachedRing, r)
		}
	}
	slices.SortFunc(l.cachedRing, func(a, b record) int {
		// Unsigned subtraction wraps around, which gives the distance from the
		// process's own position.
		if c := cmp.Compare(a.ringPosition-own, b.ringPosition-own); c != 0 {
			return c
		}
		return cmp.Compare(a.member.GetName(), b.member.GetName())
	})
	return l.cachedRing
}
