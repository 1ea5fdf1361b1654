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

// compare asks one peer, and reports whether its members differ. News that is
// still on its way makes lists differ for a moment, so whole lists are exchanged
// only if they differed the last time as well.
func (n *Node) compare(ctx context.Context, turn int, differed bool) bool {
	if !n.hasJoined() {
		n.joinFleet(ctx)
		return false
	}
	addr, peer, resp := n.askOne(ctx, turn)
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

// askOne exchanges digests with the neighbour whose turn it is or, if that does
// not answer, with the next one.
func (n *Node) askOne(ctx context.Context, turn int) (string, *zinniaquayv1.Member, *zinniaquayv1.ExchangeResponse) {
	if seeds := n.otherSeeds(); len(seeds) > 0 && turn%seedEvery == seedEvery-1 {
		addr := seeds[n.intN(len(seeds))]
		if resp, err := n.exchange(ctx, addr, nil, n.request()); err == nil {
			return addr, nil, resp
		}
	}
	neighbours := n.Members.Neighbours(Neighbours, time.Now())
	for i := range neighbours {
		peer := neighbours[(turn+i)%len(neighbours)]
		if resp, err := n.exchange(ctx, peer.GetAddr(), peer, n.request()); err == nil {
			return peer.GetAddr(), peer, resp
		}
	}
	return "", nil, nil
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
