package process

import (
	"context"
	"errors"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/peer"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

// announceTimeout bounds the announcement of a process's own state to its peers.
const announceTimeout = 2 * time.Second

// newPeers returns the node that propagates the configuration, members and
// verdicts. It also makes every message with a newer configuration number wait
// until that configuration is in force here.
func (b *base) newPeers() *peer.Node {
	node := peer.New(peer.Config{
		Members:  b.members,
		Store:    b.store,
		Platform: b.platform,
		Caller:   &peerCaller{pool: b.pool},
		Verdicts: b.verdicts,
		Seeds:    b.processSettings.GetSeedAddrs(),
		Log:      b.log,
		Metrics:  b.registry,
	})
	b.node.OnNewerConfiguration = func(ctx context.Context, addr string, number uint64) error {
		return node.EnsureAtLeast(ctx, number, addr)
	}
	return node
}

// announce sends the process's own state to its peers.
func (b *base) announce(state zinniaquayv1.Member_State) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	b.peers.Announce(ctx, state)
}

// platformAgeMs returns the age of the platform's last response in milliseconds,
// or unknownAgeMs without one.
func (b *base) platformAgeMs() int64 {
	lastContact := b.peers.LastPlatformContact()
	if lastContact.IsZero() {
		return unknownAgeMs
	}
	return time.Since(lastContact).Milliseconds()
}

// peerCaller calls peers over the pool's connections.
type peerCaller struct{ pool *rpc.Pool }

// Exchange implements peer.Caller.
func (c *peerCaller) Exchange(ctx context.Context, addr string, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	to := c.pool.Get(addr)
	resp, err := to.Peer.Exchange(ctx, req)
	c.resetOnTimeout(ctx, to, err)
	return resp, err
}

// FetchConfiguration implements peer.Caller.
func (c *peerCaller) FetchConfiguration(ctx context.Context, addr string, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	to := c.pool.Get(addr)
	resp, err := to.Peer.FetchConfiguration(ctx, req)
	c.resetOnTimeout(ctx, to, err)
	return resp, err
}

// resetOnTimeout closes a peer's connections after a call exceeded its deadline,
// because they may be silent permanently. The pool resets them only after its own
// timeout, which is no shorter than that of an exchange or a fetch.
func (c *peerCaller) resetOnTimeout(ctx context.Context, to *rpc.Peer, err error) {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.Reset(to)
	}
}

// Started returns a channel that is closed once the process has determined which
// configuration it may act on.
func (b *base) Started() <-chan struct{} { return b.peers.Started() }
