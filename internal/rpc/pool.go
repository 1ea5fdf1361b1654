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
	// CallTimeout is the longest time that a unary call between processes takes.
	CallTimeout = time.Second
	// dialTimeout is the longest time that a connection takes to open.
	dialTimeout = time.Second
	// idleTimeout closes connections that nobody has used.
	idleTimeout = 90 * time.Second
	// forgetAfter is how long a peer that nobody asked for is kept: hosts are
	// replaced all the time, and their addresses never come back.
	forgetAfter = 10 * time.Minute
	// maxStreams is how many answers may stream over one connection.
	maxStreams = 4096
)

// Peer is the clients of one other process, over connections of its own.
type Peer struct {
	// Addr (IP:port) is where the process answers.
	Addr string
	// Router calls the process as a router.
	Router zinniaquayv1connect.RouterServiceClient
	// Sidecar calls the process as a sidecar.
	Sidecar zinniaquayv1connect.SidecarServiceClient
	// Peer calls the process as a peer.
	Peer zinniaquayv1connect.PeerServiceClient
	// Evidence calls the process as a holder of evidence on moves.
	Evidence zinniaquayv1connect.EvidenceServiceClient

	transport *http.Transport
	// asked is when the peer was last asked for; it belongs to the pool's lock.
	asked time.Time
}

// Pool holds the clients of all other processes.
type Pool struct {
	node *Node

	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPool returns an empty pool for a process.
func NewPool(node *Node) *Pool {
	return &Pool{node: node, peers: make(map[string]*Peer)}
}

// Get returns the clients for an address (IP:port). Connections open as needed.
func (p *Pool) Get(addr string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	peer, ok := p.peers[addr]
	if !ok {
		p.forget(now)
		peer = p.newPeer(addr)
		p.peers[addr] = peer
	}
	peer.asked = now
	return peer
}

// forget drops the peers that nobody has asked for in a long time. The caller
// holds the lock.
func (p *Pool) forget(now time.Time) {
	for addr, peer := range p.peers {
		if now.Sub(peer.asked) > forgetAfter {
			peer.transport.CloseIdleConnections()
			delete(p.peers, addr)
		}
	}
}

// Reset drops a peer's connections, so that the next Get opens new ones. A
// connection may have gone silent for good while new ones work. Calls that are
// under way on the old connections go on until their own timeouts.
func (p *Pool) Reset(old *Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[old.Addr] == old {
		delete(p.peers, old.Addr)
	}
	old.transport.CloseIdleConnections()
}

// Close drops all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.transport.CloseIdleConnections()
	}
	clear(p.peers)
}

// newPeer returns clients over a transport of their own.
func (p *Pool) newPeer(addr string) *Peer {
	peer := &Peer{Addr: addr, transport: newTransport(p.node.Dial)}
	client := &http.Client{Transport: peer.transport}
	opts := connect.WithInterceptors(&timeoutInterceptor{pool: p, peer: peer}, p.node.Interceptor())
	base := "http://" + addr
	// Compression of small chunks costs more than half of the path's processor
	// time and saves nothing on a local network.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	peer.Router = zinniaquayv1connect.NewRouterServiceClient(client, base, opts, plain)
	peer.Sidecar = zinniaquayv1connect.NewSidecarServiceClient(client, base, opts, plain)
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

// timeoutInterceptor bounds unary calls and resets the peer's connections when
// one runs out, since the connection may have gone silent.
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
