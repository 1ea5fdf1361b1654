package peer

import (
	"context"
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
	// The neighbours whose members differed at the last comparison.
	differed := make(map[string]bool)
	n.joinFleet(ctx)
	// Processes that start together compare at different times.
	if !pause(ctx, n.jittered(CompareInterval)) {
		return
	}
	for turn := 0; ; turn++ {
		n.compare(ctx, turn, differed)
		if !pause(ctx, CompareInterval) {
			return
		}
	}
}

func (n *Node) compare(ctx context.Context, turn int, differed map[string]bool) {
	neighbours := n.Members.Neighbours(Neighbours, time.Now())
	if len(neighbours) == 0 || !n.hasJoined() || turn%seedEvery == seedEvery-1 {
		n.joinFleet(ctx)
		return
	}
	peer := neighbours[turn%len(neighbours)]
	resp, err := n.exchange(ctx, peer.GetAddr(), peer, n.request())
	if err != nil {
		return
	}
	if resp.GetMembersDigest() == n.Members.Digest() {
		delete(differed, peer.GetName())
		return
	}
	// News that is still on its way makes lists differ for a moment; whole lists
	// are exchanged only if that lasts.
	if !differed[peer.GetName()] {
		differed[peer.GetName()] = true
		return
	}
	clear(differed)
	n.syncMembers(ctx, peer.GetAddr(), peer)
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
	own := n.Members.Self().GetAddr()
	var seeds []string
	for _, addr := range n.Seeds {
		if addr != own {
			seeds = append(seeds, addr)
		}
	}
	if len(seeds) > 0 {
		n.syncMembers(ctx, seeds[n.intN(len(seeds))], nil)
		return
	}
	for _, member := range n.randomPeers(1) {
		n.syncMembers(ctx, member.GetAddr(), member)
	}
}

func (n *Node) hasJoined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined
}
