package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
)

// warmCalls fill the tables of the header compression before bytes count.
const warmCalls = 5

// countingListener counts the bytes of its connections, both ways. TCP and IP
// headers are not among them.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// endpoint is one process's server for peers with its bytes counted.
type endpoint struct {
	listener *countingListener
	server   *http.Server
	node     *rpc.Node
	store    *configstore.Store
	pool     *rpc.Pool
}

// newEndpoint listens on loopback with a copy of a configuration.
func newEndpoint(doc *zinniaquayv1.Configuration) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	store := configstore.NewStore()
	store.Apply(doc)
	node := &rpc.Node{Token: "0123456789abcdef", Addr: l.Addr().String(), Clock: &clock.Clock{}, ConfigurationNumber: store.Number}
	return &endpoint{listener: &countingListener{Listener: l}, node: node, store: store, pool: rpc.NewPool(node)}, nil
}

// serve starts the server.
func (e *endpoint) serve(path string, handler http.Handler) {
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	e.server = rpc.NewServer(mux)
	// It ends with close.
	go func() { _ = e.server.Serve(e.listener) }()
}

// close ends the server and its connections.
func (e *endpoint) close() {
	e.pool.Close()
	if e.server != nil {
		// Nothing is under way that could be lost.
		_ = e.server.Close()
	}
}

// option returns the interceptors of the endpoint's handlers.
func (e *endpoint) option() connect.HandlerOption {
	return connect.WithInterceptors(e.node.Interceptor())
}

// measureReserve measures the bytes of calls that place reservations.
func measureReserve(ctx context.Context) (slope, error) {
	return measureCalls(func(n int) (float64, error) {
		doc := configuration(1, 1)
		e, err := newEndpoint(doc)
		if err != nil {
			return 0, err
		}
		defer e.close()
		s := sidecar.New(sidecar.Options{Target: "target-0000", Store: e.store, Pool: e.pool, Log: logr.Discard()})
		e.serve(zinniaquayv1connect.NewSidecarServiceHandler(s, e.option()))
		return bytesOf(e, n, func(i int) error {
			_, err := e.pool.Get(e.node.Addr).Sidecar.Reserve(ctx, &zinniaquayv1.ReserveRequest{
				Reservations: []*zinniaquayv1.Reservation{{
					RequestId:  fmt.Sprintf("0192a7c4-0000-7000-8000-%012d.0", i),
					Account:    "account-00000",
					RouterAddr: e.node.Addr,
					Version:    "v1",
				}},
			})
			return err
		})
	})
}

// measureClaim measures the bytes of claims that find the request gone.
func measureClaim(ctx context.Context) (slope, error) {
	return measureCalls(func(n int) (float64, error) {
		e, err := newEndpoint(configuration(1, 1))
		if err != nil {
			return 0, err
		}
		defer e.close()
		r := router.New(router.Options{Addr: e.node.Addr, Store: e.store, Pool: e.pool, Log: logr.Discard()})
		e.serve(zinniaquayv1connect.NewRouterServiceHandler(r, e.option()))
		return bytesOf(e, n, func(i int) error {
			_, err := e.pool.Get(e.node.Addr).Router.Claim(ctx, &zinniaquayv1.ClaimRequest{
				RequestId:   fmt.Sprintf("0192a7c4-0000-7000-8000-%012d.0", i),
				Target:      "target-0000",
				Incarnation: uint64(1) << 60,
			})
			return err
		})
	})
}

// measureCalls measures bytes against numbers of calls.
func measureCalls(measure func(n int) (float64, error)) (slope, error) {
	s := slope{unit: "bytes", per: "calls", claim: 1000}
	for range runs {
		for _, n := range []int{10, 100, 1000} {
			y, err := measure(n)
			if err != nil {
				return slope{}, err
			}
			s.points = append(s.points, point{float64(n), y})
		}
	}
	return s, nil
}

// bytesOf returns the bytes of n calls on a warm connection.
func bytesOf(e *endpoint, n int, call func(i int) error) (float64, error) {
	for i := range warmCalls {
		if err := call(i); err != nil {
			return 0, fmt.Errorf("warm up: %w", err)
		}
	}
	before := e.listener.bytes.Load()
	for i := range n {
		if err := call(warmCalls + i); err != nil {
			return 0, fmt.Errorf("call: %w", err)
		}
	}
	return float64(e.listener.bytes.Load() - before), nil
}
