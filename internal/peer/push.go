package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// Fanout is the number of random peers that an update is pushed to.
	Fanout = 4
	// memberBatch is how long changed members wait to be batched with others.
	// Configuration numbers and verdicts are pushed without delay.
	memberBatch = 200 * time.Millisecond
	// maxPushes limits the concurrent pushes; further ones wait.
	maxPushes = 2 * Fanout
)

// pushLoop pushes each update once, to a few random peers.
func (n *Node) pushLoop(ctx context.Context) {
	pushes := pool.New().WithMaxGoroutines(maxPushes)
	defer pushes.Wait()
	var pushed uint64
	var batch <-chan time.Time
	for {
		changed, verdicts := n.Store.Changed(), n.Verdicts.VerdictsChanged()
		if number := n.Store.Number(); number > pushed {
			pushed = number
			n.push(ctx, pushes)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-verdicts:
			n.push(ctx, pushes)
		case <-n.membersChanged:
			if batch == nil {
				batch = time.After(memberBatch)
			}
		case <-batch:
			batch = nil
			n.push(ctx, pushes)
		}
	}
}

// push sends the state of this process and the pending members to a few random
// peers.
func (n *Node) push(ctx context.Context, pushes *pool.Pool) {
	req := n.newRequest()
	req.Members = n.takePending()
	for _, member := range n.randomPeers(Fanout) {
		pushes.Go(func() { n.pushTo(ctx, member, req) })
	}
}

// pushTo pushes to a member and, if it does not respond, to one other. If that
// fails too, the comparison with neighbours delivers the update.
func (n *Node) pushTo(ctx context.Context, member *zinniaquayv1.Member, req *zinniaquayv1.ExchangeRequest) {
	n.count.pushes.Inc(1)
	if _, err := n.exchange(ctx, member.GetAddr(), member, req); err == nil {
		return
	}
	for _, other := range n.randomPeers(1) {
		n.count.pushes.Inc(1)
		_, _ = n.exchange(ctx, other.GetAddr(), other, req)
	}
}

func (n *Node) takePending() []*zinniaquayv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := make([]*zinniaquayv1.Member, 0, len(n.pending))
	for _, m := range n.pending {
		members = append(members, m)
	}
	clear(n.pending)
	return members
}

// randomPeers returns up to count distinct reachable members.
func (n *Node) randomPeers(count int) []*zinniaquayv1.Member {
	peers := n.Members.Peers(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// Announce sets the process's own state and immediately pushes it to a few peers,
// which forward it. It returns when they have responded or timed out.
func (n *Node) Announce(ctx context.Context, state zinniaquayv1.Member_State) {
	n.Members.SetSelf(state)
	pushes := pool.New().WithMaxGoroutines(maxPushes)
	n.push(ctx, pushes)
	pushes.Wait()
}
