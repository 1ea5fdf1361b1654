package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// Fanout is the number of random peers that news is pushed to.
	Fanout = 4
	// memberBatch is how long news of members waits for more of them. Numbers
	// and verdicts do not wait.
	memberBatch = 200 * time.Millisecond
	// maxPushes is the number of pushes under way; further ones wait.
	maxPushes = 2 * Fanout
)

// pushLoop is the duty that pushes news to a few random peers, once.
func (n *Node) pushLoop(ctx context.Context) {
	pushes := pool.New().WithMaxGoroutines(maxPushes)
	defer pushes.Wait()
	var told uint64
	var batch <-chan time.Time
	for {
		changed, verdicts := n.Store.Changed(), n.Verdicts.VerdictsChanged()
		if number := n.Store.Number(); number > told {
			told = number
			n.push(ctx, pushes)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-verdicts:
			n.push(ctx, pushes)
		case <-n.news:
			if batch == nil {
				batch = time.After(memberBatch)
			}
		case <-batch:
			batch = nil
			n.push(ctx, pushes)
		}
	}
}

// push tells a few random peers what this process has and the members that are
// news.
func (n *Node) push(ctx context.Context, pushes *pool.Pool) {
	req := n.request()
	req.Members = n.takePending()
	for _, member := range n.randomPeers(Fanout) {
		pushes.Go(func() { n.pushTo(ctx, member, req) })
	}
}

// pushTo pushes to a member and, if it does not answer, to one other. What is
// lost all the same is made good by the comparison with neighbours.
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

// randomPeers returns a few distinct members that answer.
func (n *Node) randomPeers(count int) []*zinniaquayv1.Member {
	peers := n.Members.Peers(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// Announce sets the process's own state and tells a few peers at once, who pass
// it on. It returns when they have answered or timed out.
func (n *Node) Announce(ctx context.Context, state zinniaquayv1.Member_State) {
	n.Members.SetSelf(state)
	pushes := pool.New().WithMaxGoroutines(maxPushes)
	n.push(ctx, pushes)
	pushes.Wait()
}
