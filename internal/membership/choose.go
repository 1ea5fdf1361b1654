package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// WatchersPerZone is the number of processes of each availability zone that
// watch the platform for the others.
const WatchersPerZone = 2

// Size returns the number of members that are not gone, the process included.
func (l *List) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records) - l.gone
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
	self := l.records[l.self].member
	own := watchRank(self.GetName())
	ahead := 0
	for name, r := range l.records {
		if name == l.self || r.member.GetZone() != self.GetZone() {
			continue
		}
		if r.member.GetState() == zinniaquayv1.Member_live && l.reachable(name, now) && watchRank(name) > own {
			ahead++
		}
	}
	return self.GetState() == zinniaquayv1.Member_live && ahead < WatchersPerZone
}

func watchRank(name string) uint64 { return xxhash.Sum64String("watch/" + name) }

// Neighbours returns the few members that the process compares itself with all
// the time: the ones that follow it on a ring of all members, and the one
// opposite. Members that do not answer are passed over.
func (l *List) Neighbours(count int, now time.Time) []*zinniaquayv1.Member {
	ring := l.ring(now)
	if len(ring) <= count {
		return members(ring)
	}
	chosen := append([]record(nil), ring[:count-1]...)
	return members(append(chosen, ring[max(count-1, len(ring)/2)]))
}

// Peers returns all other members that are not gone and that answer, in the
// order of the ring after the process.
func (l *List) Peers(now time.Time) []*zinniaquayv1.Member {
	return members(l.ring(now))
}

// ring returns the other members that may answer, beginning after the process.
func (l *List) ring(now time.Time) []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.records[l.self].place
	var others []record
	for name, r := range l.records {
		if name != l.self && goneCount(r) == 0 && l.reachable(name, now) {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(a, b record) int {
		// Subtraction wraps, so that places are counted from the process's own.
		return cmp.Or(cmp.Compare(a.place-own, b.place-own), cmp.Compare(a.member.GetName(), b.member.GetName()))
	})
	return others
}

func members(records []record) []*zinniaquayv1.Member {
	out := make([]*zinniaquayv1.Member, len(records))
	for i, r := range records {
		out[i] = r.member
	}
	return out
}
