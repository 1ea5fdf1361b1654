// Package path_test measures what the fleet's path adds to a call of the
// target, against calling the stand-in target directly in the same run.
package path_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// room is the number of requests that the target may run; a measurement of the
// path must not wait for room.
const room = 512

// urls are where the same engine can be called.
type urls struct{ direct, path string }

// newFleet starts one router, one sidecar and one engine over loopback.
func newFleet(tb testing.TB, o target.Options) urls {
	tb.Helper()
	standin := target.NewEngine(o)
	tb.Cleanup(standin.Close)
	engine := httptest.NewServer(standin)
	tb.Cleanup(engine.Close)
	routerListener, sidecarListener := listen(tb), listen(tb)
	digest := sha256.Sum256([]byte("key"))
	doc := &zinniaquayv1.Configuration{
		Number:   1,
		Accounts: map[string]*zinniaquayv1.ClientAccount{"village": {KeySha256: []string{hex.EncodeToString(digest[:])}, MaxWaiting: room}},
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: map[string]*zinniaquayv1.Service{"planner": {Version: "v1"}},
		Targets: map[string]*zinniaquayv1.Target{"t1": {
			Service: "planner", Version: "v1", Zone: "a", SidecarAddr: sidecarListener.Addr().String(),
			ColdRunning: room, MaxRunning: room,
		}},
	}
	node, store := newNode(sidecarListener, doc)
	s := sidecar.New(sidecar.Options{Target: "t1", TargetURL: engine.URL, Incarnation: 1, Store: store, Pool: rpc.NewPool(node), Log: logr.Discard()})
	go s.Run(tb.Context())
	_, handler := zinniaquayv1connect.NewSidecarServiceHandler(s, connect.WithInterceptors(node.Interceptor()))
	serve(tb, sidecarListener, handler)

	node, store = newNode(routerListener, doc)
	r := router.New(router.Options{Addr: routerListener.Addr().String(), MaxBodyBytes: 1 << 20, Store: store, Pool: rpc.NewPool(node), Log: logr.Discard()})
	go r.Run(tb.Context())
	_, handler = zinniaquayv1connect.NewRouterServiceHandler(r, connect.WithInterceptors(node.Interceptor()))
	serve(tb, routerListener, handler)
	callers := httptest.NewServer(r.CallerHandler())
	tb.Cleanup(callers.Close)
	return urls{direct: engine.URL, path: callers.URL}
}

func listen(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

func newNode(l net.Listener, doc *zinniaquayv1.Configuration) (*rpc.Node, *configstore.Store) {
	store := configstore.NewStore()
	store.Apply(doc)
	return &rpc.Node{Token: "fleet", Addr: l.Addr().String(), Clock: &clock.Clock{}, ConfigurationNumber: store.Number}, store
}

func serve(tb testing.TB, l net.Listener, h http.Handler) {
	tb.Helper()
	s := rpc.NewServer(h)
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
}
