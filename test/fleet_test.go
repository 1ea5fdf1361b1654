// Package test holds failure tests of the whole path, under fake time over a
// network in memory and as real processes.
package test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"

	"encoding/json"
)

const (
	accountKey = "village-key"
	callerHost = "10.9.0.1"
	// runTimeout is the timeout of services in the fleet under test.
	runTimeout = 12 * time.Second
	// balancerLag is how long a leaving router still takes requests.
	balancerLag = 500 * time.Millisecond
)

func routerHost(i int) string  { return fmt.Sprintf("10.0.0.%d", i+1) }
func sidecarHost(i int) string { return fmt.Sprintf("10.0.1.%d", i+1) }
func targetHost(i int) string  { return fmt.Sprintf("10.0.2.%d", i+1) }

// process is one running router or sidecar.
type process struct {
	cancel  context.CancelFunc
	servers []*http.Server
	duties  sync.WaitGroup
}

func (p *process) serve(s *http.Server, l *memListener) {
	p.servers = append(p.servers, s)
	p.duties.Go(func() { _ = s.Serve(l) })
}

func (p *process) stop() {
	p.cancel()
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// fleet is routers, sidecars and targets over a network in memory. Targets with
// an even number take bookings, those with an odd one are model engines.
type fleet struct {
	t        *testing.T
	net      *network
	kv       *platform.Memory
	links    []*platform.Link
	doc      *zinniaquayv1.Configuration
	bookings map[int]*target.Booking
	engines  map[int]*target.Engine
	routers  []*router.Router
	sidecars []*sidecar.Sidecar
	running  map[string]*process
	all      []*process
	starts   uint64

	// starting orders a restart before the end of the fleet.
	starting sync.Mutex

	mu sync.Mutex
	// offers counts the requests that engines were offered, by request ID.
	offers map[string]int
}

// fleetOptions are the sizes of a fleet.
type fleetOptions struct {
	routers, targets int
	target           target.Options
	maxRunning       uint32
	bufferBytes      int64
	// only leaves out the targets of the other sort.
	only sort
}

// sort tells booking targets from engines.
type sort int

const (
	bothSorts sort = iota
	bookingTargets
	engines
)

// has reports whether the fleet has a target.
func (o fleetOptions) has(i int) bool {
	return o.only == bothSorts || (o.only == engines) == (i%2 == 1)
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	f := &fleet{
		t: t, net: newNetwork(), kv: platform.NewMemory(), doc: newDoc(o),
		bookings: make(map[int]*target.Booking), engines: make(map[int]*target.Engine), running: make(map[string]*process),
		offers:  make(map[string]int),
		routers: make([]*router.Router, o.routers), sidecars: make([]*sidecar.Sidecar, o.targets),
	}
	for i := range o.targets {
		if !o.has(i) {
			continue
		}
		var handler http.Handler
		if i%2 == 0 {
			f.bookings[i] = target.NewBooking(o.target)
			handler = f.bookings[i]
		} else {
			f.engines[i] = target.NewEngine(o.target)
			handler = f.countOffers(f.engines[i])
		}
		p := f.process(targetHost(i))
		p.serve(&http.Server{Handler: handler}, f.net.listen(targetHost(i)+":80"))
		f.startSidecar(i, o.bufferBytes)
	}
	for i := range o.routers {
		f.links = append(f.links, platform.NewLink(f.kv))
		f.startRouter(i)
	}
	return f
}

// countOffers counts the requests that an engine is offered.
func (f *fleet) countOffers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			f.mu.Lock()
			f.offers[r.Header.Get("X-Request-Id")]++
			f.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// offered returns how many requests all engines were offered.
func (f *fleet) offered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.offers {
		sum += n
	}
	return sum
}

// newDoc returns the configuration of the fleet.
func newDoc(o fleetOptions) *zinniaquayv1.Configuration {
	digest := sha256.Sum256([]byte(accountKey))
	doc := &zinniaquayv1.Configuration{
		Number:   1,
		Accounts: map[string]*zinniaquayv1.ClientAccount{"village": {KeySha256: []string{hex.EncodeToString(digest[:])}}},
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: map[string]*zinniaquayv1.Service{
			"planner": {Version: "v1", Timeout: durationpb.New(runTimeout)},
			"kits": {
				Kind: zinniaquayv1.Service_plain, Version: "v1", Timeout: durationpb.New(runTimeout),
				NotRepeatable: []*zinniaquayv1.RequestPattern{{Method: "POST", PathPrefix: "/bookings"}},
			},
		},
		Targets: map[string]*zinniaquayv1.Target{},
	}
	for i := range o.targets {
		if !o.has(i) {
			continue
		}
		service := "kits"
		if i%2 == 1 {
			service = "planner"
		}
		doc.Targets[fmt.Sprintf("t%d", i)] = &zinniaquayv1.Target{
			Service: service, Version: "v1", Zone: "a", SidecarAddr: sidecarHost(i) + ":7000",
			ColdRunning: max(1, o.maxRunning), MaxRunning: o.maxRunning,
		}
	}
	return doc
}

// process returns a new process on a host, in place of the one that ran there.
func (f *fleet) process(h string) *process {
	p := &process{cancel: func() {}}
	f.running[h] = p
	f.all = append(f.all, p)
	return p
}

// node returns the node of a process and its own copy of the configuration.
func (f *fleet) node(h string) (*rpc.Node, *configstore.Store) {
	store := configstore.NewStore()
	store.Apply(f.doc)
	return &rpc.Node{
		Token: "fleet", Addr: h + ":7000", Clock: &clock.Clock{},
		ConfigurationNumber: store.Number, Dial: f.net.dialer(h),
	}, store
}

func (f *fleet) startRouter(i int) {
	h := routerHost(i)
	p := f.process(h)
	node, store := f.node(h)
	pool := rpc.NewPool(node)
	r := router.New(router.Options{
		Addr: node.Addr, MaxBodyBytes: 1 << 20, Store: store, Pool: pool, Log: logr.Discard(), KV: f.links[i],
		BalancerLag: balancerLag,
	})
	f.routers[i] = r
	f.run(p, pool, r.Run)
	_, handler := zinniaquayv1connect.NewRouterServiceHandler(r, connect.WithInterceptors(node.Interceptor()))
	p.serve(rpc.NewServer(handler), f.net.listen(h+":7000"))
	p.serve(&http.Server{Handler: r.CallerHandler()}, f.net.listen(h+":8080"))
}

func (f *fleet) startSidecar(i int, bufferBytes int64) {
	h := sidecarHost(i)
	p := f.process(h)
	node, store := f.node(h)
	pool := rpc.NewPool(node)
	f.starts++
	s := sidecar.New(sidecar.Options{
		Target: fmt.Sprintf("t%d", i), TargetURL: "http://" + targetHost(i) + ":80", Incarnation: f.starts, Store: store,
		Pool: pool, Log: logr.Discard(), DialTarget: f.net.dialer(h), BufferBytes: bufferBytes,
	})
	f.sidecars[i] = s
	f.run(p, pool, s.Run)
	_, handler := zinniaquayv1connect.NewSidecarServiceHandler(s, connect.WithInterceptors(node.Interceptor()))
	p.serve(rpc.NewServer(handler), f.net.listen(h+":7000"))
}

// run does the duties of a process until it stops.
func (f *fleet) run(p *process, pool *rpc.Pool, duties func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.duties.Go(func() {
		duties(ctx)
		pool.Close()
	})
}

// restart kills the process on a host and starts it again with an empty memory.
func (f *fleet) restart(h string, start func()) {
	f.net.kill(h)
	f.running[h].stop()
	time.Sleep(10 * time.Millisecond)
	f.starting.Lock()
	defer f.starting.Unlock()
	start()
}

// close ends the fleet and what is left of killed processes.
func (f *fleet) close() {
	time.Sleep(time.Second) // a restart may be under way
	f.starting.Lock()
	defer f.starting.Unlock()
	for _, p := range f.all {
		p.stop()
	}
	f.net.close()
	for _, e := range f.engines {
		e.Close()
	}
	for _, p := range f.all {
		p.duties.Wait()
	}
	// What a killed sidecar had started ends with its deadline.
	time.Sleep(runTimeout)
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	body   string
	kind   errkind.Kind
	notRun bool
	// err says that the answer did not come whole.
	err error
}

// call sends one request to a router, on a connection of its own.
func (f *fleet) call(ctx context.Context, to int, method, path, key, body string) answer {
	client := &http.Client{Transport: &http.Transport{DialContext: f.net.dialer(callerHost), DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+routerHost(to)+":8080"+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	return readAnswer(res)
}

func readAnswer(res *http.Response) answer {
	body, err := io.ReadAll(res.Body)
	a := answer{id: res.Header.Get("X-Request-Id"), status: res.StatusCode, body: string(body), err: err}
	var refusal errkind.Body
	if res.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &refusal) == nil {
		a.kind, a.notRun = refusal.Error.Kind, refusal.Error.NotRun
	}
	return a
}
