package process

import (
	"context"
	"errors"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/peer"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

// announceTimeout bounds the notice of leaving that a process gives its peers.
const announceTimeout = 2 * time.Second

// newPeers returns the process's part in the spreading of the configuration,
// members and verdicts, and has every message with a higher number wait for it.
func (b *base) newPeers() *peer.Node {
	node := peer.New(peer.Config{
		Members:  b.members,
		Store:    b.store,
		Platform: b.platform,
		Caller:   &peerCaller{pool: b.pool},
		Verdicts: b.knowledge,
		Seeds:    b.common.GetSeedAddrs(),
		Log:      b.log,
		Metrics:  b.registry,
	})
	b.node.OnNewerConfiguration = func(ctx context.Context, addr string, number uint64) error {
		return node.EnsureAtLeast(ctx, number, addr)
	}
	return node
}

// announce tells peers of the process's own state.
func (b *base) announce(state zinniaquayv1.Member_State) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	b.peers.Announce(ctx, state)
}

// platformAge returns the age of the platform's last answer in milliseconds, or
// unknownAge.
func (b *base) platformAge() int64 {
	spoke := b.peers.LastPlatformContact()
	if spoke.IsZero() {
		return unknownAge
	}
	return time.Since(spoke).Milliseconds()
}

// peerCaller calls peers over the pool's connections.
type peerCaller struct{ pool *rpc.Pool }

// Exchange implements peer.Caller.
func (c *peerCaller) Exchange(ctx context.Context, addr string, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	to := c.pool.Get(addr)
	resp, err := to.Peer.Exchange(ctx, req)
	c.dropSilent(ctx, to, err)
	return resp, err
}

// FetchConfiguration implements peer.Caller.
func (c *peerCaller) FetchConfiguration(ctx context.Context, addr string, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	to := c.pool.Get(addr)
	resp, err := to.Peer.FetchConfiguration(ctx, req)
	c.dropSilent(ctx, to, err)
	return resp, err
}

// dropSilent drops a peer's connections after a call that ran out of time, since
// they may have gone silent for good. The pool does so only for its own timeout,
// which is longer than that of the spreading.
func (c *peerCaller) dropSilent(ctx context.Context, to *rpc.Peer, err error) {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.Reset(to)
	}
}

// Started returns a channel that is closed once the process knows which
// configuration it may act on.
func (b *base) Started() <-chan struct{} { return b.peers.Started() }
