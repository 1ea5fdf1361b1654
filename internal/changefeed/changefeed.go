// Package changefeed carries changes of the platform's store between processes of an
// availability zone, so that only one of them watches the store.
package changefeed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/directory"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

const (
	// callSlack is added to a call's wait to get its deadline. After that the connection
	// counts as silent.
	callSlack = 300 * time.Millisecond
	// dialTimeout limits the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// maxResponseBytes limits a response: the largest value of the store and some more.
	maxResponseBytes = 4 << 20
	// headerTimeout limits the time in which a peer sends the headers of a call, and
	// idleTimeout how long an unused connection stays open.
	headerTimeout = 2 * time.Second
	idleTimeout   = 10 * time.Second
)

// Source provides the changes that a process knows of.
type Source interface {
	// Changes waits until there are changes after a position, and returns them. After the
	// wait it returns without any. Its errors wrap platform.ErrUnavailable or
	// platform.ErrCompacted.
	Changes(ctx context.Context, after platform.Position, wait time.Duration) (directory.PeerChange, error)
}

// NewServer returns a server for the calls of peers to a member.
func NewServer(self string, source Source) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewGatewayServiceHandler(service{self, source}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// service implements the RPCs.
type service struct {
	self   string
	source Source
}

// errOtherMember means that another process has the address of the member that was asked.
var errOtherMember = errors.New("this is another member")

// Changes implements zinniaquayv1connect.GatewayServiceHandler.
func (s service) Changes(ctx context.Context, r *zinniaquayv1.ChangesRequest) (*zinniaquayv1.ChangesResponse, error) {
	if r.GetMember() != s.self {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("%w: %s, not %s", errOtherMember, s.self, r.GetMember()))
	}
	change, err := s.source.Changes(ctx, decodePosition(r.GetAfter()), time.Duration(r.GetWaitMs())*time.Millisecond)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return encodeChange(change), nil
}

// Client calls peers. It implements directory.Peers.
type Client struct {
	silent func(name string) bool
	client *http.Client

	mu sync.Mutex
	// addr and peer are those of the latest call: a process takes changes from one peer at a
	// time.
	addr string
	peer zinniaquayv1connect.GatewayServiceClient
}

var _ directory.Peers = (*Client)(nil)

// NewClient returns a client. silent reports whether nothing was heard of a member for some
// seconds.
func NewClient(silent func(name string) bool) *Client {
	return &Client{
		silent: silent,
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout,
		}},
	}
}

// Silent implements directory.Peers.
func (c *Client) Silent(name string) bool { return c.silent(name) }

// Changes implements directory.Peers. A call that misses its deadline closes its
// connection, so that a silent connection is not reused.
func (c *Client) Changes(ctx context.Context, m catalog.Member, after platform.Position, wait time.Duration) (directory.PeerChange, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	r, err := c.peerAt(m.Addr).Changes(ctx, &zinniaquayv1.ChangesRequest{
		After: encodePosition(after), WaitMs: wait.Milliseconds(), Member: m.Name,
	})
	switch {
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return directory.PeerChange{}, fmt.Errorf("%w: %w", platform.ErrCompacted, err)
	case err != nil:
		return directory.PeerChange{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return decodeChange(r), nil
}

// peerAt returns the client for an address (IP:port).
func (c *Client) peerAt(addr string) zinniaquayv1connect.GatewayServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer == nil || c.addr != addr {
		c.addr = addr
		c.peer = zinniaquayv1connect.NewGatewayServiceClient(c.client, "http://"+addr,
			connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxResponseBytes))
	}
	return c.peer
}

func encodePosition(p platform.Position) *zinniaquayv1.StorePosition {
	return &zinniaquayv1.StorePosition{Era: p.Era, Revision: p.Revision}
}

func decodePosition(p *zinniaquayv1.StorePosition) platform.Position {
	return platform.Position{Era: p.GetEra(), Revision: p.GetRevision()}
}

func encodeChange(c directory.PeerChange) *zinniaquayv1.ChangesResponse {
	// Rounded down: the view was current at least as of then.
	confirmed := c.Confirmed.Truncate(time.Millisecond)
	if confirmed > c.Confirmed {
		confirmed -= time.Millisecond
	}
	r := &zinniaquayv1.ChangesResponse{
		Position: encodePosition(c.Position), ConfirmedMs: confirmed.Milliseconds(), StoreDown: c.StoreDown,
	}
	for _, item := range c.Items {
		r.Changes = append(r.Changes, &zinniaquayv1.StoreChange{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}
	return r
}

func decodeChange(r *zinniaquayv1.ChangesResponse) directory.PeerChange {
	c := directory.PeerChange{
		Confirmed: time.Duration(r.GetConfirmedMs()) * time.Millisecond, StoreDown: r.GetStoreDown(),
	}
	c.Position = decodePosition(r.GetPosition())
	for _, item := range r.GetChanges() {
		c.Items = append(c.Items, platform.Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Deleted: item.GetDeleted(),
		})
	}
	return c
}
