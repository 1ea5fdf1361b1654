package process

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/peer"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

// announceTimeout bounds how long a process that leaves waits for the peers that
// it tells so.
const announceTimeout = 2 * time.Second

// newSpread returns the process's part in spreading what all must know, and
// makes the process act on a higher number that it hears.
func (b *base) newSpread() *peer.Node {
	n := peer.New(peer.Config{
		Members:  b.members,
		Store:    b.store,
		Platform: b.platform,
		Caller:   peerCaller{pool: b.pool},
		Verdicts: b.knowledge,
		Seeds:    b.settings.GetSeedAddrs(),
		Log:      b.log,
		Metrics:  b.registry,
	})
	b.node.HeardHigher = func(ctx context.Context, addr string, number uint64) error {
		return n.EnsureAtLeast(ctx, number, addr)
	}
	return n
}

// Started returns a channel that is closed once the process knows which
// configuration it may act on.
func (b *base) Started() <-chan struct{} { return b.spread.Started() }

// leave tells the peers that the process finishes what it has and takes nothing
// new.
func (b *base) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	b.spread.Announce(ctx, zinniaquayv1.Member_leaving)
}

// platformAge returns the age in milliseconds of the platform's last answer, or
// unknownAge.
func (b *base) platformAge() int64 {
	spoke := b.spread.PlatformSpoke()
	if spoke.IsZero() {
		return unknownAge
	}
	return time.Since(spoke).Milliseconds()
}

// peerCaller calls other processes as peers.
type peerCaller struct{ pool *rpc.Pool }

// Exchange implements peer.Caller.
func (c peerCaller) Exchange(ctx context.Context, addr string, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	return c.pool.Get(addr).Peer.Exchange(ctx, req)
}

// FetchConfiguration implements peer.Caller.
func (c peerCaller) FetchConfiguration(ctx context.Context, addr string, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return c.pool.Get(addr).Peer.FetchConfiguration(ctx, req)
}
