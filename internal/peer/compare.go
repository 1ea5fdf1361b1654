package peer

import (
	"context"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// CompareInterval is the time between two comparisons with a neighbour.
	CompareInterval = time.Second
	// Neighbours is the number of neighbours, which are asked in turn.
	Neighbours = 3
	// seedEvery is the number of comparisons after which a seed is asked, so that
	// parts of the fleet that forgot each other find together again.
	seedEvery = 30
)

// compareLoop is the duty that compares the process with one neighbour at a
// time, and so makes good whatever pushes have lost.
func (n *Node) compareLoop(ctx context.Context) {
	differed := false
	n.joinFleet(ctx)
	// Processes that start together compare at different times.
	if !pause(ctx, n.jittered(CompareInterval)) {
		return
	}
	for turn := 0; ; turn++ {
		differed = n.compare(ctx, turn, differed)
		if !pause(ctx, CompareInterval) {
			return
		}
	}
}

// compare asks one peer, and reports whether its members differ. News that is
// still on its way makes lists differ for a moment, so whole lists are exchanged
// only if they differed the last time as well.
func (n *Node) compare(ctx context.Context, turn int, differed bool) bool {
	neighbours := n.Members.Neighbours(Neighbours, time.Now())
	if len(neighbours) == 0 || !n.hasJoined() {
		n.joinFleet(ctx)
		return false
	}
	peer := neighbours[turn%len(neighbours)]
	addr := peer.GetAddr()
	if seeds := n.otherSeeds(); len(seeds) > 0 && turn%seedEvery == seedEvery-1 {
		peer, addr = nil, seeds[n.intN(len(seeds))]
	}
	resp, err := n.exchange(ctx, addr, peer, n.request())
	if err != nil {
		return differed
	}
	if resp.GetMembersDigest() == n.Members.Digest() {
		return false
	}
	if !differed {
		return true
	}
	n.syncMembers(ctx, addr, peer)
	return false
}

// syncMembers exchanges whole lists of members with a peer.
func (n *Node) syncMembers(ctx context.Context, addr string, member *zinniaquayv1.Member) {
	req := n.request()
	req.Members = n.Members.All()
	req.WantMembers = true
	n.count.fullSyncs.Inc(1)
	if _, err := n.exchange(ctx, addr, member, req); err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.joined = true
}

// joinFleet exchanges whole lists with one random seed or, without seeds, with
// one random member.
func (n *Node) joinFleet(ctx context.Context) {
	if seeds := n.otherSeeds(); len(seeds) > 0 {
		n.syncMembers(ctx, seeds[n.intN(len(seeds))], nil)
		return
	}
	for _, member := range n.randomPeers(1) {
		n.syncMembers(ctx, member.GetAddr(), member)
	}
}

// otherSeeds returns the seeds without the process itself.
func (n *Node) otherSeeds() []string {
	own := n.Members.Self().GetAddr()
	return slices.DeleteFunc(slices.Clone(n.Seeds), func(addr string) bool { return addr == own })
}

func (n *Node) hasJoined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined
}
