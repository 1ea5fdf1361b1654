package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
)

const (
	// CallTimeout limits a unary call between processes.
	CallTimeout = time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 90 * time.Second
	// peerTTL is how long an unused peer is kept: hosts are replaced all the
	// time, and their addresses are not used again.
	peerTTL = 10 * time.Minute
	// maxStreams is the maximum number of concurrent streams per connection.
	maxStreams = 4096
)

// Peer holds the clients for one other process. They share its connections.
type Peer struct {
	// Addr (IP:port) is the address at which the process accepts calls.
	Addr string
	// Router is the client for calls to a router.
	Router zinniaquayv1connect.RouterServiceClient
	// Sidecar is the client for calls to a sidecar.
	Sidecar zinniaquayv1connect.SidecarServiceClient
	// Peer is the client for calls that every process serves.
	Peer zinniaquayv1connect.PeerServiceClient
	// Evidence is the client for calls to a router that holds evidence on moves.
	Evidence zinniaquayv1connect.EvidenceServiceClient

	transport *http.Transport
	// lastUsed is the time of the last Get; it is guarded by the pool's lock.
	lastUsed time.Time
}

// Pool holds the clients for all other processes.
type Pool struct {
	node *Node

	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPool returns an empty pool whose clients call on behalf of node.
func NewPool(node *Node) *Pool {
	return &Pool{node: node, peers: make(map[string]*Peer)}
}

// Get returns the clients for an address (IP:port). Connections are opened on
// demand.
func (p *Pool) Get(addr string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	peer, ok := p.peers[addr]
	if !ok {
		p.evictUnused(now)
		peer = p.newPeer(addr)
		p.peers[addr] = peer
	}
	peer.lastUsed = now
	return peer
}

// evictUnused drops the peers that were not used for longer than peerTTL. The
// caller holds the lock.
func (p *Pool) evictUnused(now time.Time) {
	for addr, peer := range p.peers {
		if now.Sub(peer.lastUsed) > peerTTL {
			peer.transport.CloseIdleConnections()
			delete(p.peers, addr)
		}
	}
}

// Reset drops a peer's connections, so that the next Get opens new ones. A
// connection may stay silent for good while new ones work. Calls in progress on
// the old connections continue until their own timeouts.
func (p *Pool) Reset(old *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[old.Addr] == old {
		delete(p.peers, old.Addr)
	}
	old.transport.CloseIdleConnections()
}

// Close removes all peers and closes their idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.transport.CloseIdleConnections()
	}
	clear(p.peers)
}

// newPeer returns clients that share a new transport.
func (p *Pool) newPeer(addr string) *Peer {
	peer := &Peer{Addr: addr, transport: newTransport(p.node.Dial)}
	client := &http.Client{Transport: peer.transport}
	opts := connect.WithInterceptors(&timeoutInterceptor{pool: p, peer: peer}, p.node.Interceptor())
	base := "http://" + addr
	// Compression of small chunks takes more than half of the CPU time of a
	// request's path and saves nothing on a local network.
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	peer.Router = zinniaquayv1connect.NewRouterServiceClient(client, base, opts, noCompression)
	peer.Sidecar = zinniaquayv1connect.NewSidecarServiceClient(client, base, opts, noCompression)
	peer.Peer = zinniaquayv1connect.NewPeerServiceClient(client, base, opts)
	peer.Evidence = zinniaquayv1connect.NewEvidenceServiceClient(client, base, opts)
	return peer
}

// newTransport returns an HTTP/2 transport without encryption.
func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	t := &http.Transport{
		DialContext:     dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// timeoutInterceptor sets a timeout on unary calls. It resets the peer's
// connections when a call times out, since the connection may be silent.
type timeoutInterceptor struct {
	pool *Pool
	peer *Peer
}

// WrapUnary implements connect.Interceptor.
func (t *timeoutInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		bounded, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		res, err := next(bounded, req)
		if err != nil && bounded.Err() != nil && ctx.Err() == nil {
			t.pool.Reset(t.peer)
		}
		return res, err
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (t *timeoutInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (t *timeoutInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
