package evidence_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/move/keeper"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

// memoryNetwork is an in-memory network, so that whole fleets run in one process
// under fake time.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

func (m *memoryNetwork) listen(addr string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[addr] = l
	return l
}

func (m *memoryNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[addr]
	m.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fleet runs routers, and sidecars with their model engines, in one process.
type fleet struct {
	t        *testing.T
	net      *memoryNetwork
	platform *platform.Memory
	doc      *zinniaquayv1.Configuration
	stores   map[string]*configstore.Store
	routers  map[string]*router.Router
	holders  map[string]*evidence.Holder
	verdicts map[string]*move.VerdictSet
	engines  map[string]*target.Engine
	members  []evidence.Member
	// callers are the routers that traffic sends requests to; nil means all.
	callers []evidence.Member

	mu           sync.Mutex
	requestTimes map[string][]time.Time
	// firstTokens holds the time to first token of each answer.
	firstTokens []time.Duration
	// ignoreNewerNumbers makes processes ignore the configuration numbers on
	// messages.
	ignoreNewerNumbers atomic.Bool

	sidecars map[string]*sidecar.Sidecar
	// stops holds the functions that end the tasks of a process or address.
	stops   map[string][]func()
	targets []string
}

// newMove returns the move in a fleet's configuration.
func newMove(deadline time.Duration, share float64) *zinniaquayv1.Move {
	return &zinniaquayv1.Move{
		Service: "planner", FromVersion: "v1", ToVersion: "v2",
		Deadline: timestamppb.New(time.Now().Add(deadline)), SmallShare: share,
	}
}

// newFleet returns a fleet that is not started. One service has old targets in
// availability zone a and new targets in availability zone b.
func newFleet(t *testing.T, routers, old, newer int, m *zinniaquayv1.Move) *fleet {
	digest := sha256.Sum256([]byte("key"))
	f := &fleet{
		t: t, net: &memoryNetwork{listeners: map[string]*listener{}}, platform: platform.NewMemory(),
		stores: map[string]*configstore.Store{}, routers: map[string]*router.Router{}, holders: map[string]*evidence.Holder{},
		verdicts: map[string]*move.VerdictSet{}, engines: map[string]*target.Engine{}, requestTimes: map[string][]time.Time{}, sidecars: map[string]*sidecar.Sidecar{}, stops: map[string][]func(){},
		doc: &zinniaquayv1.Configuration{
			Number:   1,
			Accounts: map[string]*zinniaquayv1.ClientAccount{"village": {KeySha256: []string{hex.EncodeToString(digest[:])}}},
			Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}, "b": {}},
			Services: map[string]*zinniaquayv1.Service{"planner": {Version: "v1"}},
			Targets:  map[string]*zinniaquayv1.Target{},
		},
	}
	if m != nil {
		f.doc.Moves = map[string]*zinniaquayv1.Move{"m": m}
	}
	for i := range routers {
		f.members = append(f.members, evidence.Member{Name: fmt.Sprintf("r%d", i), Addr: fmt.Sprintf("r%d:1", i)})
	}
	add := func(name, version, zone string) {
		f.targets = append(f.targets, name)
		f.doc.Targets[name] = &zinniaquayv1.Target{Service: "planner", Version: version, Zone: zone, SidecarAddr: name + ":1", MaxRunning: 8, ColdRunning: 2}
	}
	for i := range old {
		add(fmt.Sprintf("old%d", i), "v1", "a")
	}
	for i := range newer {
		add(fmt.Sprintf("new%d", i), "v2", "b")
	}
	return f
}

// start starts all processes. If options is not nil, it may change the options of
// each engine.
func (f *fleet) start(options func(name string, o *target.Options)) {
	for _, m := range f.members {
		f.startRouter(m)
	}
	for _, name := range f.targets {
		o := target.Options{Version: f.doc.Targets[name].Version, FirstToken: 20 * time.Millisecond, PerToken: 2 * time.Millisecond}
		if options != nil {
			options(name, &o)
		}
		f.startSidecar(name, o)
	}
}

func (f *fleet) node(addr string) (*rpc.Node, *rpc.Pool) {
	store := configstore.NewStore()
	store.Apply(proto.CloneOf(f.doc))
	f.stores[addr] = store
	node := &rpc.Node{Token: "fleet", Addr: addr, Clock: &clock.Clock{}, ConfigurationNumber: store.Number, Dial: f.net.dial}
	// A process that receives a higher configuration number fetches that
	// configuration from the sender.
	node.OnNewerConfiguration = func(_ context.Context, from string, _ uint64) error {
		if f.ignoreNewerNumbers.Load() {
			return nil
		}
		store.Apply(proto.CloneOf(f.stores[from].Current().Doc))
		return nil
	}
	pool := rpc.NewPool(node)
	f.t.Cleanup(pool.Close)
	return node, pool
}

func (f *fleet) serve(addr string, h http.Handler) {
	s := rpc.NewServer(h)
	l := f.net.listen(addr)
	go func() { _ = s.Serve(l) }()
	f.stops[addr] = []func(){func() { _ = s.Close() }}
	f.t.Cleanup(func() { _ = s.Close() })
}

func (f *fleet) live() []evidence.Member { return f.members }

func (f *fleet) startRouter(m evidence.Member) {
	node, pool := f.node(m.Addr)
	verdicts := move.NewVerdictSet()
	f.verdicts[m.Name] = verdicts
	names := func() []string {
		var names []string
		for _, m := range f.members {
			names = append(names, m.Name)
		}
		return names
	}
	r := router.New(router.Options{
		Addr: m.Addr, MaxBodyBytes: 1 << 20, Store: f.stores[m.Addr], Pool: pool, Log: logr.Discard(),
		Versions: versions.NewChooser(m.Name, verdicts, names), VerdictsChanged: verdicts.VerdictsChanged,
	})
	h := evidence.NewHolder(evidence.HolderOptions{
		Name: m.Name, Incarnation: 1, Store: f.stores[m.Addr], Verdicts: verdicts, Records: f.platform,
		Routers: f.live, Log: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	f.routers[m.Name], f.holders[m.Name] = r, h
	f.run(m.Name, r.Run)
	f.run(m.Name, h.Run)
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewRouterServiceHandler(r, connect.WithInterceptors(node.Interceptor())))
	mux.Handle(zinniaquayv1connect.NewEvidenceServiceHandler(h, connect.WithInterceptors(node.Interceptor())))
	f.serve(m.Addr, mux)
}

func (f *fleet) startSidecar(name string, o target.Options) {
	engine := target.NewEngine(o)
	f.t.Cleanup(engine.Close)
	f.engines[name] = engine
	f.serve(name+".engine:1", f.countRequests(name, engine))
	node, pool := f.node(name + ":1")
	verdicts := move.NewVerdictSet()
	f.verdicts[name] = verdicts
	s := sidecar.New(sidecar.Options{
		Target: name, TargetURL: "http://" + name + ".engine:1", Incarnation: 1, Name: name,
		Store: f.stores[name+":1"], Pool: pool, Log: logr.Discard(), DialTarget: f.net.dial,
		Verdicts: verdicts, EvidenceRouters: f.live, Platform: f.platform,
		Routers: func() []string {
			var addrs []string
			for _, m := range f.members {
				addrs = append(addrs, m.Addr)
			}
			return addrs
		},
	})
	f.sidecars[name] = s
	f.run(name, s.Run)
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewSidecarServiceHandler(s, connect.WithInterceptors(node.Interceptor())))
	f.serve(name+":1", mux)
}

// run runs tasks of a process until it is killed or the test ends.
func (f *fleet) run(name string, tasks func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tasks(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	f.stops[name] = append(f.stops[name], stop)
	f.t.Cleanup(stop)
}

// kill stops a router without a graceful shutdown.
func (f *fleet) kill(name string) {
	for _, stop := range f.stops[name] {
		stop()
	}
	f.stops[name+":1"][0]()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	delete(f.net.listeners, name+":1")
}

// sendRequest sends one request to a router and returns the status.
func (f *fleet) sendRequest(routerName string) int {
	body := strings.NewReader(`{"model":"planner","stream":true,"max_tokens":5}`)
	req := httptest.NewRequestWithContext(f.t.Context(), http.MethodPost, "/v1/chat/completions", body)
	req.Header.Set("Authorization", "Bearer key")
	w := &firstWrite{ResponseRecorder: httptest.NewRecorder()}
	begin := time.Now()
	f.routers[routerName].CallerHandler().ServeHTTP(w, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstTokens = append(f.firstTokens, w.at.Sub(begin))
	return w.Code
}

// firstWrite records when the first part of an answer's body is written.
type firstWrite struct {
	*httptest.ResponseRecorder
	at time.Time
}

// Write implements http.ResponseWriter.
func (w *firstWrite) Write(b []byte) (int, error) {
	if w.at.IsZero() {
		w.at = time.Now()
	}
	return w.ResponseRecorder.Write(b)
}

// traffic sends requests to the routers in turn, one per interval for a given
// time, and waits until all are answered. It returns the number of answers by
// status.
func (f *fleet) traffic(interval, length time.Duration) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	i := 0
	routers := f.callers
	if routers == nil {
		routers = f.members
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		name := routers[i%len(routers)].Name
		i++
		group.Go(func() {
			status := f.sendRequest(name)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}

// countRequests wraps a target's handler and records when requests arrive.
func (f *fleet) countRequests(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/chat") {
			f.mu.Lock()
			f.requestTimes[name] = append(f.requestTimes[name], time.Now())
			f.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// startedSince returns the number of requests that arrived since a time at targets
// whose names have a prefix.
func (f *fleet) startedSince(prefix string, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, times := range f.requestTimes {
		for _, at := range times {
			if strings.HasPrefix(name, prefix) && !at.Before(since) {
				n++
			}
		}
	}
	return n
}

// state returns the committed state of the move.
func (f *fleet) state() string {
	d := move.NewDeclaration("m", f.doc.Moves["m"])
	return keeper.NewReader(f.platform).Status(f.t.Context(), d, time.Now()).GetState()
}

// apply changes the configuration and applies it at the processes with the given
// addresses.
func (f *fleet) apply(change func(doc *zinniaquayv1.Configuration), addrs ...string) {
	doc := proto.CloneOf(f.doc)
	doc.Number++
	change(doc)
	f.doc = doc
	for _, addr := range addrs {
		f.stores[addr].Apply(proto.CloneOf(doc))
	}
}

// runWithFakeTime runs a test under fake time.
func runWithFakeTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// resetCounts discards the recorded request times and times to first token.
func (f *fleet) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestTimes = map[string][]time.Time{}
	f.firstTokens = nil
}

// nthRequestToNew returns when the nth request arrived at targets of the new
// version.
func (f *fleet) nthRequestToNew(n int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []time.Time
	for name, times := range f.requestTimes {
		if strings.HasPrefix(name, "new") {
			all = append(all, times...)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	if len(all) == 0 {
		return time.Now()
	}
	return all[min(n, len(all))-1]
}
