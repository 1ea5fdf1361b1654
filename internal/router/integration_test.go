package router_test

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"

	"connectrpc.com/connect"
)

// listen returns a listener on loopback that closes with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// newNode returns a process's RPC node and its own copy of the configuration.
func newNode(l net.Listener, doc *zinniaquayv1.Configuration) (*rpc.Node, *configstore.Store) {
	store := configstore.NewStore()
	store.Apply(doc)
	return &rpc.Node{Token: "fleet", Addr: l.Addr().String(), Clock: &clock.Clock{}, ConfigurationNumber: store.Number}, store
}

// start serves a handler for other processes until the test ends.
func start(t *testing.T, l net.Listener, h http.Handler) {
	t.Helper()
	s := rpc.NewServer(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// startRouter starts a router with one sidecar and one target, and returns the
// URL for callers.
func startRouter(t *testing.T, perToken, readTimeout time.Duration) string {
	t.Helper()
	standin := target.NewEngine(target.Options{Version: "v1", PerToken: perToken})
	t.Cleanup(standin.Close)
	engine := httptest.NewServer(standin)
	t.Cleanup(engine.Close)
	routerListener, sidecarListener := listen(t), listen(t)
	digest := sha256.Sum256([]byte("key"))
	doc := &zinniaquayv1.Configuration{
		Number:   1,
		Accounts: map[string]*zinniaquayv1.ClientAccount{"village": {KeySha256: []string{hex.EncodeToString(digest[:])}}},
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: map[string]*zinniaquayv1.Service{"planner": {Version: "v1"}},
		Targets: map[string]*zinniaquayv1.Target{"t1": {
			Service: "planner", Version: "v1", Zone: "a", SidecarAddr: sidecarListener.Addr().String(),
		}},
	}
	node, store := newNode(sidecarListener, doc)
	s := sidecar.New(sidecar.Options{Target: "t1", TargetURL: engine.URL, Incarnation: 1, Store: store, Pool: rpc.NewPool(node), Log: logr.Discard()})
	go s.Run(t.Context())
	_, handler := zinniaquayv1connect.NewSidecarServiceHandler(s, connect.WithInterceptors(node.Interceptor()))
	start(t, sidecarListener, handler)

	node, store = newNode(routerListener, doc)
	r := router.New(router.Options{Addr: routerListener.Addr().String(), MaxBodyBytes: 1 << 20, Store: store, Pool: rpc.NewPool(node), Log: logr.Discard()})
	go r.Run(t.Context())
	_, handler = zinniaquayv1connect.NewRouterServiceHandler(r, connect.WithInterceptors(node.Interceptor()))
	start(t, routerListener, handler)
	callers := httptest.NewUnstartedServer(r.CallerHandler())
	callers.Config.ReadTimeout = readTimeout
	callers.Start()
	t.Cleanup(callers.Close)
	return callers.URL
}

// chatRequest is the request that sendChat sends.
var chatRequest = target.ChatRequest{Model: "planner", Stream: true, MaxTokens: 5}

// sendChat sends one model request and returns the status, the complete body
// and the expected body.
func sendChat(t *testing.T, url string) (status int, body, want string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"model":"planner","stream":true,"max_tokens":5}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer key")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return res.StatusCode, string(got), string(target.NewAnswer(chatRequest, res.Header.Get("X-Request-Id"), "v1").Stream())
}

func TestStreamedResponseArrivesComplete(t *testing.T) {
	is := is.New(t)
	status, body, want := sendChat(t, startRouter(t, 0, time.Second))
	is.Equal(status, http.StatusOK)
	is.Equal(body, want)
}

func TestReadTimeoutDoesNotTruncateSlowResponse(t *testing.T) {
	is := is.New(t)
	status, body, want := sendChat(t, startRouter(t, 60*time.Millisecond, 50*time.Millisecond))
	is.Equal(status, http.StatusOK)
	is.Equal(body, want)
}
