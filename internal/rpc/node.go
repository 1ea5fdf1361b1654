package rpc

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
)

// tokenHeader carries the fleet's shared token.
const tokenHeader = "Authorization"

// errUnauthenticated is returned for a call without the fleet's token.
var errUnauthenticated = connect.NewError(connect.CodeUnauthenticated, errors.New("fleet token missing or wrong"))

// DialFunc opens a connection to an address (IP:port).
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Node describes this process to its peers and configures its calls.
type Node struct {
	// Token is the shared secret of the fleet's processes.
	Token string
	// Addr (IP:port) is the address at which this process accepts calls from
	// peers.
	Addr string
	// Clock provides the timestamps of messages.
	Clock *clock.Clock
	// ConfigurationNumber returns the number of the configuration in force in
	// this process, or 0 for none.
	ConfigurationNumber func() uint64
	// OnNewerConfiguration is called with the address and configuration number of
	// a peer whose configuration is newer, before the message is handled. It
	// returns once the newer configuration is in force, or an error if the
	// configuration can't be obtained.
	OnNewerConfiguration func(ctx context.Context, addr string, number uint64) error
	// Dial opens connections to peers. The default is TCP.
	Dial DialFunc
}

// Interceptor returns the interceptor that sets and checks the token and the
// metadata of calls, for clients and servers.
func (n *Node) Interceptor() connect.Interceptor { return &interceptor{node: n} }

type interceptor struct{ node *Node }

// WrapUnary implements connect.Interceptor.
func (i *interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			return i.call(ctx, req, next)
		}
		return i.handle(ctx, req, next)
	}
}

// call sends a unary call and processes the peer's metadata in the response.
func (i *interceptor) call(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	i.setHeaders(req.Header())
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := i.observeSender(ctx, req.Spec().Procedure, res.Header()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return res, nil
}

// handle authenticates a unary call, processes the peer's metadata in it and
// calls the handler.
func (i *interceptor) handle(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	if !i.hasToken(req.Header()) {
		return nil, errUnauthenticated
	}
	if err := i.observeSender(ctx, req.Spec().Procedure, req.Header()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	i.meta().write(res.Header())
	return res, nil
}

// WrapStreamingClient implements connect.Interceptor.
func (i *interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		i.setHeaders(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i *interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if !i.hasToken(conn.RequestHeader()) {
			return errUnauthenticated
		}
		return next(ctx, conn)
	}
}

// setHeaders sets the token and the metadata in the headers of a call.
func (i *interceptor) setHeaders(h http.Header) {
	h.Set(tokenHeader, "Bearer "+i.node.Token)
	i.meta().write(h)
}

// hasToken reports whether a call carries the fleet's token.
func (i *interceptor) hasToken(h http.Header) bool {
	got := strings.TrimPrefix(h.Get(tokenHeader), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(i.node.Token)) == 1
}

// observeSender processes the metadata on a message's sender: it advances the
// clock and reports a newer configuration to OnNewerConfiguration. Calls of
// PeerService report none: they compare configuration numbers themselves, and
// fetching a configuration would otherwise wait for itself.
func (i *interceptor) observeSender(ctx context.Context, procedure string, h http.Header) error {
	m, ok := readMeta(h)
	if !ok {
		return nil
	}
	i.node.Clock.Observe(m.Stamp)
	if m.ConfigurationNumber <= i.node.ConfigurationNumber() || i.node.OnNewerConfiguration == nil {
		return nil
	}
	if strings.HasPrefix(procedure, "/"+zinniaquayv1connect.PeerServiceName+"/") {
		return nil
	}
	return i.node.OnNewerConfiguration(ctx, m.Addr, m.ConfigurationNumber)
}

// meta returns the metadata for a message that is sent now.
func (i *interceptor) meta() Meta {
	return Meta{
		ConfigurationNumber: i.node.ConfigurationNumber(),
		Stamp:               i.node.Clock.Now(),
		Addr:                i.node.Addr,
	}
}
