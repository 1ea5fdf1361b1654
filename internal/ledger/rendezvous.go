// Package ledger keeps fleet-wide totals of service per client account as soft
// state, spread over the processes of the fleet.
//
// Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", 1998) names one live process per account, the account's
// holder. Reporters send it their own running totals, which only rise within an
// incarnation, and learn the fleet's. Repeats, reordering and restarts do no
// harm, because everything is merged by maximum. A lost holder is rebuilt from
// the reporters' next reports.
package ledger

import "github.com/cespare/xxhash/v2"

// Member is a process that may hold accounts.
type Member struct {
	// Name of the process, unique in the fleet.
	Name string
	// Addr is the process's address (IP:port) for calls from peers.
	Addr string
}

// ring ranks members for accounts.
type ring struct {
	members []Member
	hashes  []uint64
}

// newRing returns the ring of some members.
func newRing(members []Member) *ring {
	r := &ring{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m.Name)
	}
	return r
}

// holder returns the best ranked member that usable admits, in rendezvous
// order. It reports false if there is none.
func (r *ring) holder(account uint64, usable func(name string) bool) (Member, bool) {
	best, bestScore := -1, uint64(0)
	for i, h := range r.hashes {
		score := mix(account ^ h)
		if best >= 0 && score <= bestScore {
			continue
		}
		if usable(r.members[i].Name) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return r.members[best], true
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014). Every bit
// of x moves half the bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// equalMembers reports whether two lists are the same.
func (r *ring) equalMembers(members []Member) bool {
	if len(members) != len(r.members) {
		return false
	}
	for i, m := range members {
		if m != r.members[i] {
			return false
		}
	}
	return true
}
