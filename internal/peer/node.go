// Package peer spreads among the processes of the fleet what all of them must
// know: the configuration's number and document, the list of members, and
// verdicts on versions. A few processes watch the platform; from them news
// travels by pushes to a few random peers, by comparison with a few fixed
// neighbours, and by the configuration's number on every message.
package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/membership"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// Caller calls other processes by address (IP:port).
type Caller interface {
	// Exchange calls PeerService.Exchange.
	Exchange(ctx context.Context, addr string, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error)
	// FetchConfiguration calls PeerService.FetchConfiguration.
	FetchConfiguration(ctx context.Context, addr string, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error)
}

// Verdicts is the process's set of verdicts, which only grows while their moves
// stand.
type Verdicts interface {
	// Verdicts returns all verdicts known.
	Verdicts() []*zinniaquayv1.Verdict
	// MergeVerdicts takes in verdicts; repeats are harmless.
	MergeVerdicts(verdicts []*zinniaquayv1.Verdict)
	// VerdictsChanged returns a channel that is closed when a verdict is added.
	VerdictsChanged() <-chan struct{}
}

// Config is what a node is made of.
type Config struct {
	// Members is the process's list of members, which holds the process itself.
	Members *membership.List
	// Store holds the configuration in force.
	Store *configstore.Store
	// Platform is the platform.
	Platform platform.Platform
	// Caller calls other processes.
	Caller Caller
	// Verdicts is the process's set of verdicts; nil for none.
	Verdicts Verdicts
	// Seeds are addresses (IP:port) of peers from the settings.
	Seeds []string
	// Log takes the node's log lines.
	Log logr.Logger
	// Metrics takes the node's metrics; nil for none.
	Metrics metrics.Registry
}

// heardRing is the number of hints of a higher number that may wait. When it is
// full a further hint is dropped and counted: the number comes again with the
// next message.
const heardRing = 64

// Node is one process's part in the spreading. Its methods may be called by
// several goroutines.
type Node struct {
	Config
	heard chan hint
	news  chan struct{}
	count counters

	mu sync.Mutex
	// random is used under mu.
	random *rand.Rand
	// pending are members to push.
	pending map[string]*zinniaquayv1.Member
	// highest is the highest number heard of.
	highest uint64
	// flights are fetches under way, by the peer's address.
	flights map[string]*flight
	// joined says whether a peer has sent its list of members.
	joined bool
	// peerSpoke and platformSpoke are when a peer and the platform were last
	// heard.
	peerSpoke, platformSpoke time.Time

	startOnce sync.Once
	started   chan struct{}
}

// hint says that a peer has a number.
type hint struct {
	number uint64
	addr   string
}

// New returns a node that does nothing by itself until Run is called.
func New(c Config) *Node {
	if c.Verdicts == nil {
		c.Verdicts = noVerdicts{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	self := c.Members.Self()
	return &Node{
		Config:    c,
		heard:     make(chan hint, heardRing),
		news:      make(chan struct{}, 1),
		count:     newCounters(c.Metrics),
		random:    rand.New(rand.NewPCG(xxhash.Sum64String(self.GetName()), self.GetIncarnation())),
		pending:   make(map[string]*zinniaquayv1.Member),
		flights:   make(map[string]*flight),
		peerSpoke: time.Now(),
		started:   make(chan struct{}),
	}
}

// Run does the node's duties until the context ends.
func (n *Node) Run(ctx context.Context) {
	var duties conc.WaitGroup
	duties.Go(func() { n.startLoop(ctx) })
	duties.Go(func() { n.fetchLoop(ctx) })
	duties.Go(func() { n.pushLoop(ctx) })
	duties.Go(func() { n.compareLoop(ctx) })
	duties.Go(func() { n.watchLoop(ctx) })
	duties.Go(func() { n.pollLoop(ctx) })
	duties.Go(func() { n.hostsLoop(ctx) })
	duties.Wait()
}

// Started returns a channel that is closed once the process knows which
// configuration it may act on. Before, it must start no work.
func (n *Node) Started() <-chan struct{} { return n.started }

func (n *Node) isStarted() bool {
	select {
	case <-n.started:
		return true
	default:
		return false
	}
}

// LastPlatformContact returns when the platform last answered; zero for never.
func (n *Node) LastPlatformContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platformSpoke
}

// hear notes that a number exists.
func (n *Node) hear(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.highest = max(n.highest, number)
}

// heardNumber returns the highest number that exists as far as is known.
func (n *Node) heardNumber() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.highest, n.Store.Number())
}

// intN returns a random number below limit.
func (n *Node) intN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

// jittered returns a random duration between half of d and d.
func (n *Node) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.intN(int(d/2)+1))
}

type noVerdicts struct{}

func (noVerdicts) Verdicts() []*zinniaquayv1.Verdict       { return nil }
func (noVerdicts) MergeVerdicts(_ []*zinniaquayv1.Verdict) {}
func (noVerdicts) VerdictsChanged() <-chan struct{}        { return nil }
