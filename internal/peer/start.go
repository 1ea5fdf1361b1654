package peer

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// StartPeers is the number of peers with a configuration that a process
	// requires to start during an outage of the platform.
	StartPeers = 3
	// MinStartPeers is the number that suffices after StartPeersTimeout. It is
	// more than one, since a single peer may lag behind.
	MinStartPeers = 2
	// StartPeersTimeout is how long a process requires StartPeers peers before it
	// accepts MinStartPeers.
	StartPeersTimeout = 5 * time.Second
	// maxStartPeers limits the peers that are queried at once.
	maxStartPeers = 8
	// maxStartRetry is the maximum time between two attempts to start.
	maxStartRetry = 4 * time.Second
)

// startLoop obtains the configuration to start with: the platform's or, during an
// outage of the platform, the one with the highest number among several peers.
func (n *Node) startLoop(ctx context.Context) {
	startTime := time.Now()
	retry := minRetry / 2
	for !n.isStarted() {
		if err := n.readPlatform(ctx); err == nil {
			return
		}
		want := StartPeers
		if time.Since(startTime) >= StartPeersTimeout {
			want = MinStartPeers
		}
		n.startFromPeers(ctx, want)
		if n.isStarted() || !wait.For(ctx, n.jittered(retry)) {
			return
		}
		retry = min(2*retry, maxStartRetry)
	}
}

func (n *Node) markStarted() {
	n.startOnce.Do(func() { close(n.started) })
}

// startResponse is a peer's response to a process that starts. The number is 0 if
// the peer did not respond or has no configuration.
type startResponse struct {
	addr     string
	number   uint64
	observed uint64
}

// startFromPeers starts with the highest number among at least want peers. It
// never starts below a number that any of them has observed, since this process
// may have acted on that number before it restarted and lost its state.
func (n *Node) startFromPeers(ctx context.Context, want int) {
	addrs := n.startAddrs()
	responses := iter.Map(addrs, func(addr *string) startResponse { return n.queryPeer(ctx, *addr) })
	responses = slices.DeleteFunc(responses, func(r startResponse) bool { return r.number == 0 })
	if len(responses) < want {
		n.Log.V(1).Info("too few peers have a configuration to start from", "asked", len(addrs), "know", len(responses))
		return
	}
	minNumber := n.highestKnownNumber()
	for _, r := range responses {
		minNumber = max(minNumber, r.observed)
	}
	for _, r := range responses {
		if r.number >= minNumber && n.fetch(ctx, r.addr, minNumber) == nil {
			n.markStarted()
			return
		}
	}
}

func (n *Node) queryPeer(ctx context.Context, addr string) startResponse {
	req := n.newRequest()
	req.WantMembers = true
	resp, err := n.exchange(ctx, addr, nil, req)
	if err != nil {
		return startResponse{addr: addr}
	}
	return startResponse{addr: addr, number: resp.GetConfigurationNumber(), observed: resp.GetHeardNumber()}
}

// startAddrs returns addresses of peers to query: first neighbours, which are the
// most likely to have observed the number that this process had, then seeds, then
// other members.
func (n *Node) startAddrs() []string {
	own := n.Members.Self().GetAddr()
	now := time.Now()
	addrs := addrsOf(n.Members.Neighbours(NeighbourCount, now))
	addrs = append(addrs, n.Seeds...)
	addrs = append(addrs, addrsOf(n.Members.Peers(now))...)
	var distinct []string
	for _, addr := range addrs {
		if addr != own && !slices.Contains(distinct, addr) && len(distinct) < maxStartPeers {
			distinct = append(distinct, addr)
		}
	}
	return distinct
}

func addrsOf(members []*zinniaquayv1.Member) []string {
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.GetAddr()
	}
	return addrs
}
