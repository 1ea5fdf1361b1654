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

// headerBytes is what a call costs on the wire beside its messages, taken high.
const headerBytes = 200

var errUnreachable = errors.New("unreachable")

// network calls the nodes of a test directly.
type network struct {
	mu    sync.Mutex
	nodes map[string]*process
	// cut holds addresses that nobody reaches and that reach nobody.
	cut map[string]bool
	// spoil changes answers to FetchConfiguration.
	spoil func(*zinniaquayv1.FetchConfigurationResponse)
	bytes atomic.Int64
	// random loses messages where it is set.
	random *rand.Rand
}

// process is one node with what it stands on.
type process struct {
	*Node
	link   *platform.Link
	editor *configstore.Editor
	cancel context.CancelFunc
	done   chan struct{}
}

// fleet is a number of nodes on one platform.
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

// start starts process i with an empty memory, under a new incarnation.
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

// kill ends a process without a word.
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

// spreadTime waits until all processes have a number, for a limit at most.
func (f *fleet) spreadTime(number uint64, limit time.Duration) time.Duration {
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

func (n *network) setSpoil(spoil func(*zinniaquayv1.FetchConfigurationResponse)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spoil = spoil
}

// loseQuarter loses every fourth message on average.
func (n *network) loseQuarter() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random = rand.New(rand.NewPCG(1, 1))
}

// reach waits for the way to a process, or for the timeout if it is cut.
func (n *network) reach(ctx context.Context, from *process, addr string) (*process, error) {
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

// delay returns the time that a message takes one way. The zones from z4 on are
// another region.
func (n *network) delay(from, to *process) time.Duration {
	if (from.Members.Self().GetZone() < "z4") == (to.Members.Self().GetZone() < "z4") {
		return time.Millisecond
	}
	return 40 * time.Millisecond
}

func (n *network) weigh(messages ...proto.Message) {
	for _, m := range messages {
		n.bytes.Add(int64(proto.Size(m)) + headerBytes)
	}
}

// caller is one process's way to the others. Messages are copied, as on a wire.
type caller struct {
	net  *network
	from *process
}

func (c *caller) Exchange(ctx context.Context, addr string, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	to, err := c.net.reach(ctx, c.from, addr)
	if err != nil {
		return nil, err
	}
	resp, err := to.Exchange(ctx, req)
	c.net.weigh(req, resp)
	time.Sleep(c.net.delay(to, c.from))
	return resp, err
}

func (c *caller) FetchConfiguration(ctx context.Context, addr string, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	to, err := c.net.reach(ctx, c.from, addr)
	if err != nil {
		return nil, err
	}
	resp, err := to.FetchConfiguration(ctx, req)
	c.net.mu.Lock()
	spoil := c.net.spoil
	c.net.mu.Unlock()
	if err == nil && spoil != nil {
		resp = proto.CloneOf(resp)
		spoil(resp)
	}
	c.net.weigh(req, resp)
	time.Sleep(c.net.delay(to, c.from))
	return resp, err
}
