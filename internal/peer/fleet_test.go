package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/membership"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// headerBytes is a high estimate of a call's bytes on the wire in addition to its
// messages.
const headerBytes = 200

var errUnreachable = errors.New("unreachable")

// network is an in-memory network that calls the nodes of a test directly.
type network struct {
	mu    sync.Mutex
	nodes map[string]*process
	// cut holds addresses that are partitioned from all others in both directions.
	cut map[string]bool
	// corrupt modifies responses to FetchConfiguration.
	corrupt func(*zinniaquayv1.FetchConfigurationResponse)
	bytes   atomic.Int64
	// random, if set, selects messages to drop.
	random *rand.Rand
}

// process is one node with its dependencies.
type process struct {
	*Node
	link   *platform.Link
	editor *configstore.Editor
	cancel context.CancelFunc
	done   chan struct{}
}

// fleet is a set of nodes on one platform.
type fleet struct {
	t        testing.TB
	memory   *platform.Memory
	net      *network
	seeds    []string
	zones    int
	restarts uint64
}

func newFleet(t testing.TB, processes, zones int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, memory: platform.NewMemory(), zones: zones, seeds: []string{"p0", "p1", "p2"},
		net: &network{nodes: make(map[string]*process), cut: make(map[string]bool)},
	}
	if _, err := configstore.NewEditor(f.memory, configstore.NewStore()).Patch(t.Context(), 0, []byte(`{"zones":{"z0":{}}}`)); err != nil {
		t.Fatal(err)
	}
	for i := range processes {
		f.start(i)
	}
	return f
}

// start starts process i without any state, under a new incarnation.
func (f *fleet) start(i int) *process {
	f.restarts++
	name := fmt.Sprint("p", i)
	self := &zinniaquayv1.Member{
		Name: name, Addr: name, Zone: fmt.Sprint("z", i%f.zones), Role: zinniaquayv1.Member_router, Incarnation: f.restarts,
	}
	p := &process{link: platform.NewLink(f.memory), done: make(chan struct{})}
	store := configstore.NewStore()
	p.Node = New(Config{
		Members: membership.NewList(self), Store: store, Platform: p.link, Seeds: f.seeds,
		Caller: &caller{net: f.net, from: p}, Log: logr.Discard(),
	})
	p.editor = configstore.NewEditor(p.link, store)
	f.net.mu.Lock()
	f.net.nodes[name] = p
	f.net.mu.Unlock()
	f.memory.SetHost(platform.Host{Name: name, Addr: name, Zone: self.GetZone(), Role: "router"})
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(f.t.Context())
	go func() {
		defer close(p.done)
		p.Run(ctx)
	}()
	return p
}

// kill stops a process without an announcement.
func (f *fleet) kill(i int) {
	p := f.at(i)
	f.net.mu.Lock()
	delete(f.net.nodes, p.addr())
	f.net.mu.Unlock()
	p.cancel()
	<-p.done
}

func (f *fleet) at(i int) *process {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return f.net.nodes[fmt.Sprint("p", i)]
}

func (f *fleet) all() []*process {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	var all []*process
	for _, p := range f.net.nodes {
		all = append(all, p)
	}
	return all
}

func (f *fleet) stop() {
	for _, p := range f.all() {
		p.cancel()
	}
	for _, p := range f.all() {
		<-p.done
	}
	synctest.Wait()
}

// patch commits a patch at process i and returns the new number.
func (f *fleet) patch(i int) uint64 {
	f.t.Helper()
	p := f.at(i)
	result, err := p.editor.Patch(f.t.Context(), p.Store.Number(), []byte(`{"zones":{"z0":{"state":"out"}}}`))
	if err != nil {
		f.t.Fatal(err)
	}
	return result.Number
}

// propagationTime waits until all processes have a number, up to a limit, and
// returns the time waited.
func (f *fleet) propagationTime(number uint64, limit time.Duration) time.Duration {
	begun := time.Now()
	for time.Since(begun) < limit {
		missing := 0
		for _, p := range f.all() {
			if p.Store.Number() < number {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(begun)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

func (p *process) addr() string { return p.Members.Self().GetAddr() }

func (n *network) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

func (n *network) setCorrupt(corrupt func(*zinniaquayv1.FetchConfigurationResponse)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.corrupt = corrupt
}

// dropQuarter drops every fourth message on average.
func (n *network) dropQuarter() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random = rand.New(rand.NewPCG(1, 1))
}

// route waits for the one-way delay to a process, or for the timeout if the
// connection is cut or the message is dropped.
func (n *network) route(ctx context.Context, from *process, addr string) (*process, error) {
	n.mu.Lock()
	to, ok := n.nodes[addr]
	cut := n.cut[addr] || n.cut[from.addr()] || n.random != nil && n.random.IntN(4) == 0
	n.mu.Unlock()
	if !ok {
		return nil, errUnreachable
	}
	if cut {
		<-ctx.Done() // a silent connection, not a refused one
		return nil, ctx.Err()
	}
	time.Sleep(n.delay(from, to))
	return to, nil
}

// delay returns the one-way delay of a message. The zones from z4 on are in a
// second region.
func (n *network) delay(from, to *process) time.Duration {
	if (from.Members.Self().GetZone() < "z4") == (to.Members.Self().GetZone() < "z4") {
		return time.Millisecond
	}
	return 40 * time.Millisecond
}

func (n *network) countBytes(messages ...proto.Message) {
	for _, m := range messages {
		n.bytes.Add(int64(proto.Size(m)) + headerBytes)
	}
}

// caller calls other processes on behalf of one process.
type caller struct {
	net  *network
	from *process
}

func (c *caller) Exchange(ctx context.Context, addr string, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	to, err := c.net.route(ctx, c.from, addr)
	if err != nil {
		return nil, err
	}
	resp, err := to.Exchange(ctx, req)
	c.net.countBytes(req, resp)
	time.Sleep(c.net.delay(to, c.from))
	return resp, err
}

func (c *caller) FetchConfiguration(ctx context.Context, addr string, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	to, err := c.net.route(ctx, c.from, addr)
	if err != nil {
		return nil, err
	}
	resp, err := to.FetchConfiguration(ctx, req)
	c.net.mu.Lock()
	corrupt := c.net.corrupt
	c.net.mu.Unlock()
	if err == nil && corrupt != nil {
		resp = proto.CloneOf(resp)
		corrupt(resp)
	}
	c.net.countBytes(req, resp)
	time.Sleep(c.net.delay(to, c.from))
	return resp, err
}
