package evidence

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a router that may hold the evidence on a move.
type Member struct {
	// Name is the name of the process, unique in the fleet.
	Name string
	// Addr is the process's address (IP:port) for calls from peers.
	Addr string
}

// Ranked returns the routers in rendezvous hashing order for a move. The first
// reachable router holds the evidence on the move.
func Ranked(moveDigest uint64, routers []Member) []Member {
	ordered := slices.Clone(routers)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(moveDigest, a.Name), rank(moveDigest, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

func rank(moveDigest uint64, router string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%x %s", moveDigest, router))
}

// processID returns an identifier of one incarnation of a process.
func processID(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", name, incarnation)
}
