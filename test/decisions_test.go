package test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// modelFleet is a fleet of model engines with several client accounts, whose
// sidecars share a ledger.
type modelFleet struct {
	*fleet
	client *http.Client
	// pending follows requests until their answers begin, if it is not nil.
	pending *pending

	mu     sync.Mutex
	tokens map[string]float64 // tokens of whole answers, by account
}

// modelOptions are the sizes of a model fleet. Each account's key is its name.
type modelOptions struct {
	routers  int
	services []string // of each target
	accounts []string
	bounds   capacity.Bounds
	engine   target.Options
	latency  time.Duration // of a packet; 0 is that of a new network
}

// newModelFleet returns a fleet.
func newModelFleet(t *testing.T, o modelOptions) *modelFleet {
	f := &modelFleet{tokens: make(map[string]float64), fleet: &fleet{
		t: t, net: newNetwork(), kv: platform.NewMemory(), doc: modelDoc(o),
		engines: make(map[int]*target.Engine), running: make(map[string]*process),
		routers: make([]*router.Router, o.routers), sidecars: make([]*sidecar.Sidecar, len(o.services)),
	}}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.net.dialer(callerHost), MaxIdleConnsPerHost: 1024}}
	if o.latency > 0 {
		f.net.latency = o.latency
	}
	for i := range o.routers {
		f.links = append(f.links, platform.NewLink(f.kv))
		f.startRouter(i)
	}
	for i := range o.services {
		f.engines[i] = target.NewEngine(o.engine)
		f.process(targetHost(i)).serve(&http.Server{Handler: f.engines[i]}, f.net.listen(targetHost(i)+":80"))
		f.startModelSidecar(i)
	}
	return f
}

// modelDoc returns the configuration of a model fleet.
func modelDoc(o modelOptions) *zinniaquayv1.Configuration {
	doc := &zinniaquayv1.Configuration{
		Number:   1,
		Accounts: make(map[string]*zinniaquayv1.ClientAccount),
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: make(map[string]*zinniaquayv1.Service),
		Targets:  make(map[string]*zinniaquayv1.Target),
	}
	for _, a := range o.accounts {
		digest := sha256.Sum256([]byte(a))
		doc.Accounts[a] = &zinniaquayv1.ClientAccount{KeySha256: []string{hex.EncodeToString(digest[:])}}
	}
	for i, name := range o.services {
		doc.Services[name] = &zinniaquayv1.Service{Version: "v1", Timeout: durationpb.New(runTimeout)}
		doc.Targets[fmt.Sprintf("t%d", i)] = &zinniaquayv1.Target{
			Service: name, Version: "v1", Zone: "a", SidecarAddr: sidecarHost(i) + ":7000",
			ColdRunning: uint32(o.bounds.MaxCold), MaxRunning: uint32(o.bounds.Max), ColdTime: durationpb.New(o.bounds.ColdDuration),
		}
	}
	return doc
}

// holderService serves the ledger's call alone.
type holderService struct {
	zinniaquayv1connect.UnimplementedPeerServiceHandler
	*ledger.Holder
}

// ReportService implements the RPC.
func (h holderService) ReportService(ctx context.Context, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
	return h.Holder.ReportService(ctx, req)
}

// startModelSidecar starts a sidecar that takes part in the ledger.
func (f *modelFleet) startModelSidecar(i int) {
	h := sidecarHost(i)
	p := f.process(h)
	node, store := f.node(h)
	pool := rpc.NewPool(node)
	f.starts++
	name := fmt.Sprintf("sidecar-%d", i)
	holder := ledger.NewHolder(name, f.starts)
	s := sidecar.New(sidecar.Options{
		Target: fmt.Sprintf("t%d", i), TargetURL: "http://" + targetHost(i) + ":80", Incarnation: f.starts, Store: store,
		Pool: pool, Log: logr.Discard(), DialTarget: f.net.dialer(h), Name: name, Holder: holder,
		Members: f.members, Routers: f.routerAddrs,
	})
	f.sidecars[i] = s
	f.run(p, pool, s.Run)
	option := connect.WithInterceptors(node.Interceptor())
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewSidecarServiceHandler(s, option))
	mux.Handle(zinniaquayv1connect.NewPeerServiceHandler(holderService{Holder: holder}, option))
	p.serve(rpc.NewServer(mux), f.net.listen(h+":7000"))
}

// members names the sidecars, which hold the ledger.
func (f *modelFleet) members() []ledger.Member {
	var members []ledger.Member
	for i := range f.sidecars {
		members = append(members, ledger.Member{Name: fmt.Sprintf("sidecar-%d", i), Addr: sidecarHost(i) + ":7000"})
	}
	return members
}

// routerAddrs names the routers.
func (f *modelFleet) routerAddrs() []string {
	var addrs []string
	for i := range f.routers {
		addrs = append(addrs, routerHost(i)+":7000")
	}
	return addrs
}

// ask sends one request and counts the tokens of a whole answer.
func (f *modelFleet) ask(ctx context.Context, to int, account, service string, tokens int) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d}`, service, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+routerHost(to)+":8080/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+account)
	var n int
	if f.pending != nil {
		n = f.pending.begin()
	}
	res, err := f.client.Do(req)
	if f.pending != nil && ctx.Err() == nil {
		f.pending.end(n)
	}
	if err != nil {
		return // the test is over, or a router was killed
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err == nil && strings.HasSuffix(string(answer), "data: [DONE]\n\n") {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.tokens[account] += float64(tokens)
	}
}

// callers lets an account keep a number of requests waiting or running.
func (f *modelFleet) callers(ctx context.Context, group *sync.WaitGroup, n, to int, account, service string, tokens int) {
	for range n {
		group.Go(func() {
			for ctx.Err() == nil {
				f.ask(ctx, to, account, service, tokens)
			}
		})
	}
}

// runCallers runs callers for a time, ends the fleet and returns the tokens that
// accounts got.
func (f *modelFleet) runCallers(d time.Duration, start func(ctx context.Context, group *sync.WaitGroup)) map[string]float64 {
	ctx, cancel := context.WithCancel(f.t.Context())
	var group sync.WaitGroup
	start(ctx, &group)
	time.Sleep(d)
	f.mu.Lock()
	got := make(map[string]float64)
	for a, tokens := range f.tokens {
		got[a] = tokens
	}
	f.mu.Unlock()
	cancel()
	group.Wait()
	f.client.CloseIdleConnections()
	f.close()
	// Connections that opened while processes stopped.
	f.net.close()
	return got
}

// Requests of the fairness tests: the large account's cost more, so that taking
// turns is not fair.
const (
	fairTokens  = 20
	largeTokens = 80
	fairRunning = 4
	perToken    = 10 * time.Millisecond
)

// fairLimits returns the bound for two targets of the fairness tests.
func fairLimits() fairness.Limits {
	return fairness.Limits{
		Targets: 2, Running: fairRunning, Cost: largeTokens, Batch: 1,
		Rate: fairRunning * float64(time.Second/perToken),
		Age:  ledger.MaxStaleness.Seconds(),
	}
}

var fairOptions = modelOptions{
	routers: 2, accounts: []string{"large", "village"},
	bounds: capacity.Bounds{MaxCold: fairRunning, Max: fairRunning, ColdDuration: time.Millisecond},
	engine: target.Options{Name: "e", Version: "v1", PerToken: perToken},
}

// A flood at one router leaves a village at another one its part. Fails when
// the sidecar stops asking the fair order.
func TestFloodLeavesAVillageItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := fairOptions
		o.services = []string{"planner", "planner"}
		f := newModelFleet(t, o)
		got := f.runCallers(30*time.Second, func(ctx context.Context, group *sync.WaitGroup) {
			f.callers(ctx, group, 60, 0, "large", "planner", largeTokens)
			f.callers(ctx, group, 8, 1, "village", "planner", fairTokens)
		})
		t.Logf("tokens: %v, bound on the gap %.0f", got, fairLimits().Gap())
		is.True(math.Abs(got["large"]-got["village"]) <= fairLimits().Gap())
	})
}

// Two accounts share one of two services, and one of them has the other service
// for itself. Only fleet-wide totals even them out: fails when the sidecar stops
// reporting to the ledger.
func TestServiceElsewhereCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := fairOptions
		o.services = []string{"planner", "labels"}
		f := newModelFleet(t, o)
		got := f.runCallers(30*time.Second, func(ctx context.Context, group *sync.WaitGroup) {
			f.callers(ctx, group, 8, 0, "large", "planner", fairTokens)
			f.callers(ctx, group, 8, 0, "large", "labels", fairTokens)
			f.callers(ctx, group, 8, 1, "village", "planner", fairTokens)
		})
		t.Logf("tokens: %v, bound on the gap %.0f", got, fairLimits().Gap())
		is.True(math.Abs(got["large"]-got["village"]) <= fairLimits().Gap())
	})
}
