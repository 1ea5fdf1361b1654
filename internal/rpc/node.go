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

// errNoToken is the answer to a call without the fleet's token.
var errNoToken = connect.NewError(connect.CodeUnauthenticated, errors.New("fleet token missing or wrong"))

// DialFunc opens a connection to an address (IP:port).
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Node is a process as its calls present it.
type Node struct {
	// Token is the secret that all processes of the fleet share.
	Token string
	// Addr (IP:port) is where this process answers peers.
	Addr string
	// Clock stamps every message.
	Clock *clock.Clock
	// ConfigurationNumber returns the number in force here, 0 for none.
	ConfigurationNumber func() uint64
	// OnNewerConfiguration is called with the number and address of a peer whose
	// configuration is newer, before the message is acted on. It returns when
	// the newer configuration is in force, or with an error if it can't be had.
	OnNewerConfiguration func(ctx context.Context, addr string, number uint64) error
	// Dial opens connections to peers. Default TCP.
	Dial DialFunc
}

// Interceptor returns the interceptor that checks the token and carries Meta on
// every call, as client and as server.
func (n *Node) Interceptor() connect.Interceptor { return &interceptor{node: n} }

type interceptor struct{ node *Node }

// WrapUnary implements connect.Interceptor.
func (i *interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			return i.call(ctx, req, next)
		}
		return i.answer(ctx, req, next)
	}
}

// call sends a unary call and acts on what the answer tells of the peer.
func (i *interceptor) call(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	i.sign(req.Header())
	res, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := i.heard(ctx, req.Spec().Procedure, res.Header()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return res, nil
}

// answer checks a unary call, acts on what it tells of the peer and answers.
func (i *interceptor) answer(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	if !i.authentic(req.Header()) {
		return nil, errNoToken
	}
	if err := i.heard(ctx, req.Spec().Procedure, req.Header()); err != nil {
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
		i.sign(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i *interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if !i.authentic(conn.RequestHeader()) {
			return errNoToken
		}
		return next(ctx, conn)
	}
}

// sign puts the token and meta on a call.
func (i *interceptor) sign(h http.Header) {
	h.Set(tokenHeader, "Bearer "+i.node.Token)
	i.meta().write(h)
}

// authentic reports whether a call carries the fleet's token.
func (i *interceptor) authentic(h http.Header) bool {
	got := strings.TrimPrefix(h.Get(tokenHeader), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(i.node.Token)) == 1
}

// heard notes what a message tells of its sender. Calls between peers compare
// numbers themselves, or fetching a configuration would wait for itself.
func (i *interceptor) heard(ctx context.Context, procedure string, h http.Header) error {
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

// meta returns the meta of a message that leaves now.
func (i *interceptor) meta() Meta {
	return Meta{
		ConfigurationNumber: i.node.ConfigurationNumber(),
		Stamp:               i.node.Clock.Now(),
		Addr:                i.node.Addr,
	}
}
