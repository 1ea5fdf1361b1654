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
	// StartPeers is the number of peers whose word a process that starts during
	// an outage wants.
	StartPeers = 3
	// MinStartPeers is the number that is enough after StartPatience: never one
	// alone, which may lag behind.
	MinStartPeers = 2
	// StartPatience is how long a process waits for the word of StartPeers peers.
	StartPatience = 5 * time.Second
	// maxStartPeers is the number of peers that are asked at once.
	maxStartPeers = 8
	// maxStartRetry is the longest time between two tries to start.
	maxStartRetry = 4 * time.Second
)

// startLoop is the duty that finds the configuration to start with: the
// platform's or, in an outage, the highest among several peers.
func (n *Node) startLoop(ctx context.Context) {
	begun := time.Now()
	retry := minRetry / 2
	for !n.isStarted() {
		if err := n.readPlatform(ctx); err == nil {
			return
		}
		want := StartPeers
		if time.Since(begun) >= StartPatience {
			want = MinStartPeers
		}
		n.askPeers(ctx, want)
		if n.isStarted() || !wait.For(ctx, n.jittered(retry)) {
			return
		}
		retry = min(2*retry, maxStartRetry)
	}
}

func (n *Node) markStarted() {
	n.startOnce.Do(func() { close(n.started) })
}

// word is a peer's answer to a process that starts.
type word struct {
	addr   string
	number uint64
	heard  uint64
}

// askPeers starts with the highest number among at least want peers. It never starts
// below a number that any of them has heard of, since this process may have
// acted on that number before it lost its memory.
func (n *Node) askPeers(ctx context.Context, want int) {
	addrs := n.startAddrs()
	words := iter.Map(addrs, func(addr *string) word { return n.ask(ctx, *addr) })
	words = slices.DeleteFunc(words, func(w word) bool { return w.number == 0 })
	if len(words) < want {
		n.Log.V(1).Info("too few peers know a configuration", "asked", len(addrs), "know", len(words))
		return
	}
	least := n.heardNumber()
	for _, w := range words {
		least = max(least, w.heard)
	}
	for _, w := range words {
		if w.number >= least && n.fetch(ctx, w.addr, least) == nil {
			n.markStarted()
			return
		}
	}
}

func (n *Node) ask(ctx context.Context, addr string) word {
	req := n.request()
	req.WantMembers = true
	resp, err := n.exchange(ctx, addr, nil, req)
	if err != nil {
		return word{addr: addr}
	}
	return word{addr: addr, number: resp.GetConfigurationNumber(), heard: resp.GetHeardNumber()}
}

// startAddrs returns addresses of peers to ask: neighbours, who are the likeliest
// to have heard what this process had, then seeds, then other members.
func (n *Node) startAddrs() []string {
	own := n.Members.Self().GetAddr()
	now := time.Now()
	addrs := addrsOf(n.Members.Neighbours(Neighbours, now))
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
