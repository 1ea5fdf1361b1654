// Package ledger keeps fleet-wide totals of service per client account as soft
// state that is distributed over the processes of the fleet.
//
// Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", 1998) assigns each account to one live process, the
// account's holder. Reporters send the holder their own running totals, which
// never decrease within an incarnation, and receive the fleet-wide totals in the
// response. Duplicates, reordering and restarts do not change the result because
// totals are merged by maximum. The state of a lost holder is rebuilt from the
// reporters' next reports.
package ledger

import "github.com/cespare/xxhash/v2"

// Member is a process that may hold accounts.
type Member struct {
	// Name is the name of the process, unique in the fleet.
	Name string
	// Addr is the process's address (IP:port) for calls from peers.
	Addr string
}

// rendezvous assigns accounts to members by rendezvous hashing.
type rendezvous struct {
	members []Member
	hashes  []uint64
}

// newRendezvous returns the assignment of accounts to the given members.
func newRendezvous(members []Member) *rendezvous {
	r := &rendezvous{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m.Name)
	}
	return r
}

// holder returns the member with the highest score for an account among those for
// which usable returns true. It returns false if there is none.
func (r *rendezvous) holder(account uint64, usable func(name string) bool) (Member, bool) {
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

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014). Flipping
// any bit of x flips about half of the bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hasMembers reports whether members equals the list of r, order included.
func (r *rendezvous) hasMembers(members []Member) bool {
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
