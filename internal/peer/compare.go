package peer

import (
	"context"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// CompareInterval is the time between two comparisons with a neighbour.
	CompareInterval = time.Second
	// NeighbourCount is the number of neighbours that are compared with in turn.
	NeighbourCount = 3
	// comparisonsPerSeed is the number of comparisons of which one is with a seed,
	// so that parts of the fleet that removed each other from their lists merge
	// again.
	comparisonsPerSeed = 30
)

// compareLoop periodically compares this process's state with one neighbour's
// (anti-entropy), which recovers updates that pushes have lost.
func (n *Node) compareLoop(ctx context.Context) {
	differed := false
	n.joinFleet(ctx)
	// The random delay spreads out processes that start together.
	if !wait.For(ctx, n.jittered(CompareInterval)) {
		return
	}
	for turn := 0; ; turn++ {
		differed = n.compare(ctx, turn, differed)
		if !wait.For(ctx, CompareInterval) {
			return
		}
	}
}

// compare exchanges digests with one peer, and reports whether their lists of
// members differ. Updates in transit make the lists differ briefly, so full lists
// are exchanged only if the previous comparison found a difference as well.
func (n *Node) compare(ctx context.Context, turn int, differed bool) bool {
	if !n.hasJoined() {
		n.joinFleet(ctx)
		return false
	}
	addr, peer, resp := n.exchangeWithNeighbour(ctx, turn)
	switch {
	case resp == nil:
		return differed
	case resp.GetMembersDigest() == n.Members.Digest():
		return false
	case !differed:
		return true
	}
	n.syncMembers(ctx, addr, peer)
	return false
}

// exchangeWithNeighbour exchanges digests with the neighbour whose turn it is
// or, if that one does not respond, with the next. One in comparisonsPerSeed
// turns tries a random seed first.
func (n *Node) exchangeWithNeighbour(ctx context.Context, turn int) (string, *zinniaquayv1.Member, *zinniaquayv1.ExchangeResponse) {
	if seeds := n.otherSeeds(); len(seeds) > 0 && turn%comparisonsPerSeed == comparisonsPerSeed-1 {
		addr := seeds[n.intN(len(seeds))]
		if resp, err := n.exchange(ctx, addr, nil, n.newRequest()); err == nil {
			return addr, nil, resp
		}
	}
	neighbours := n.Members.Neighbours(NeighbourCount, time.Now())
	for i := range neighbours {
		peer := neighbours[(turn+i)%len(neighbours)]
		if resp, err := n.exchange(ctx, peer.GetAddr(), peer, n.newRequest()); err == nil {
			return peer.GetAddr(), peer, resp
		}
	}
	return "", nil, nil
}

// syncMembers exchanges full lists of members with a peer.
func (n *Node) syncMembers(ctx context.Context, addr string, member *zinniaquayv1.Member) {
	req := n.newRequest()
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

// joinFleet exchanges full lists of members with one random seed or, without
// seeds, with one random member.
func (n *Node) joinFleet(ctx context.Context) {
	if seeds := n.otherSeeds(); len(seeds) > 0 {
		n.syncMembers(ctx, seeds[n.intN(len(seeds))], nil)
		return
	}
	for _, member := range n.randomPeers(1) {
		n.syncMembers(ctx, member.GetAddr(), member)
	}
}

// otherSeeds returns the seeds other than the process itself.
func (n *Node) otherSeeds() []string {
	own := n.Members.Self().GetAddr()
	return slices.DeleteFunc(slices.Clone(n.Seeds), func(addr string) bool { return addr == own })
}

func (n *Node) hasJoined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined
}
