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

// memory is a network inside one process, so that whole fleets run under fake
// time.
type memory struct {
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

func (m *memory) listen(addr string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[addr] = l
	return l
}

func (m *memory) dial(ctx context.Context, _, addr string) (net.Conn, error) {
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

// fleet is routers and sidecars before model engines, in one process.
type fleet struct {
	t        *testing.T
	net      *memory
	platform *platform.Memory
	doc      *zinniaquayv1.Configuration
	stores   map[string]*configstore.Store
	routers  map[string]*router.Router
	holders  map[string]*evidence.Holder
	knows    map[string]*move.VerdictSet
	engines  map[string]*target.Engine
	members  []evidence.Member
	// callers are the routers that callers ask; all of them by default.
	callers []evidence.Member

	mu   sync.Mutex
	hits map[string][]time.Time
	// firstTokens holds the time to the first token of each answer.
	firstTokens []time.Duration
	// deaf processes pay no heed to the numbers on messages.
	deaf atomic.Bool

	sidecars map[string]*sidecar.Sidecar
	// stops ends what runs under a name.
	stops   map[string][]func()
	targets []string
}

// declared is the move of a fleet's configuration.
func declared(deadline time.Duration, share float64) *zinniaquayv1.Move {
	return &zinniaquayv1.Move{
		Service: "planner", FromVersion: "v1", ToVersion: "v2",
		Deadline: timestamppb.New(time.Now().Add(deadline)), SmallShare: share,
	}
}

// newFleet returns a fleet that is not started: old and new targets of one
// service, in two availability zones, old ones in a, new ones in b.
func newFleet(t *testing.T, routers, old, newer int, m *zinniaquayv1.Move) *fleet {
	digest := sha256.Sum256([]byte("key"))
	f := &fleet{
		t: t, net: &memory{listeners: map[string]*listener{}}, platform: platform.NewMemory(),
		stores: map[string]*configstore.Store{}, routers: map[string]*router.Router{}, holders: map[string]*evidence.Holder{},
		knows: map[string]*move.VerdictSet{}, engines: map[string]*target.Engine{}, hits: map[string][]time.Time{}, sidecars: map[string]*sidecar.Sidecar{}, stops: map[string][]func(){},
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

// start starts all processes; options changes those of an engine, if not nil.
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
	// A process that hears a higher number fetches it from where it heard it.
	node.OnNewerConfiguration = func(_ context.Context, from string, _ uint64) error {
		if f.deaf.Load() {
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
	know := move.NewVerdictSet()
	f.knows[m.Name] = know
	names := func() []string {
		var names []string
		for _, m := range f.members {
			names = append(names, m.Name)
		}
		return names
	}
	r := router.New(router.Options{
		Addr: m.Addr, MaxBodyBytes: 1 << 20, Store: f.stores[m.Addr], Pool: pool, Log: logr.Discard(),
		Versions: versions.NewChooser(m.Name, know, names), VerdictsChanged: know.VerdictsChanged,
	})
	h := evidence.NewHolder(evidence.HolderOptions{
		Name: m.Name, Incarnation: 1, Store: f.stores[m.Addr], Verdicts: know, Records: f.platform,
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
	f.serve(name+".engine:1", f.counted(name, engine))
	node, pool := f.node(name + ":1")
	know := move.NewVerdictSet()
	f.knows[name] = know
	s := sidecar.New(sidecar.Options{
		Target: name, TargetURL: "http://" + name + ".engine:1", Incarnation: 1, Name: name,
		Store: f.stores[name+":1"], Pool: pool, Log: logr.Discard(), DialTarget: f.net.dial,
		Verdicts: know, EvidenceRouters: f.live, Platform: f.platform,
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

// run runs a process's duties until the test ends.
func (f *fleet) run(name string, duties func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		duties(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	f.stops[name] = append(f.stops[name], stop)
	f.t.Cleanup(stop)
}

// kill ends a router without notice.
func (f *fleet) kill(name string) {
	for _, stop := range f.stops[name] {
		stop()
	}
	f.stops[name+":1"][0]()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	delete(f.net.listeners, name+":1")
}

// ask sends one request to a router and returns the status.
func (f *fleet) ask(routerName string) int {
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

// firstWrite notes when the first part of an answer's body is written.
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

// traffic sends requests to all routers in turn at a rate for a time, and waits
// until all are answered. It returns the number of answers by status.
func (f *fleet) traffic(every, length time.Duration) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	i := 0
	routers := f.callers
	if routers == nil {
		routers = f.members
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
		name := routers[i%len(routers)].Name
		i++
		group.Go(func() {
			status := f.ask(name)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}

// counted notes when a target is asked to answer.
func (f *fleet) counted(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/chat") {
			f.mu.Lock()
			f.hits[name] = append(f.hits[name], time.Now())
			f.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// started returns the number of requests that targets of a name's prefix were
// asked to answer since a time.
func (f *fleet) started(prefix string, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, times := range f.hits {
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

// apply puts a changed configuration in force at the processes of the given
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

// bubble runs a test of a fleet under fake time.
func bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// forget drops what was counted so far.
func (f *fleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hits = map[string][]time.Time{}
	f.firstTokens = nil
}

// shown returns when a bad version's targets were asked for the nth time.
func (f *fleet) shown(n int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []time.Time
	for name, times := range f.hits {
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
