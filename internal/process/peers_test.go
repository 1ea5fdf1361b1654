package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
)

// silentConn discards everything written to it once silent is set.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

type peerServiceStub struct {
	zinniaquayv1connect.UnimplementedPeerServiceHandler
}

func (peerServiceStub) Exchange(context.Context, *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	return &zinniaquayv1.ExchangeResponse{}, nil
}

func TestSilentConnectionIsRedialed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", anyPortAddr)
	is.NoErr(err)
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewPeerServiceHandler(peerServiceStub{}))
	server := rpc.NewServer(mux)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()

	var silent atomic.Bool
	dials := 0
	pool := rpc.NewPool(&rpc.Node{Addr: unreachableAddr, Clock: &clock.Clock{}, ConfigurationNumber: func() uint64 { return 0 },
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if dials++; dials > 1 {
				return conn, err
			}
			return silentConn{conn, &silent}, err
		}})
	defer pool.Close()
	caller := &peerCaller{pool: pool}
	exchange := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := caller.Exchange(ctx, listener.Addr().String(), &zinniaquayv1.ExchangeRequest{})
		return err
	}
	is.NoErr(exchange())
	silent.Store(true)
	is.True(exchange() != nil)
	is.NoErr(exchange()) // over a new connection
	is.Equal(dials, 2)
}
