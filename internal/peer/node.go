// Package peer distributes the state that all processes of the fleet share: the
// configuration's number and document, the list of members, and verdicts on
// versions. A few processes watch the platform. Updates propagate from them by
// pushes to a few random peers (gossip), by periodic comparison with a few fixed
// neighbours (anti-entropy), and by the configuration's number on every message.
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

// Verdicts is the process's set of verdicts. Merging never removes a verdict; a
// verdict is dropped only when its move is no longer declared.
type Verdicts interface {
	// Verdicts returns all known verdicts.
	Verdicts() []*zinniaquayv1.Verdict
	// MergeVerdicts adds verdicts. It is idempotent.
	MergeVerdicts(verdicts []*zinniaquayv1.Verdict)
	// VerdictsChanged returns a channel that is closed when a verdict is added.
	VerdictsChanged() <-chan struct{}
}

// Config holds the dependencies and settings of a node.
type Config struct {
	// Members is the process's list of members, including the process itself.
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
	// Log receives the node's log lines.
	Log logr.Logger
	// Metrics is the registry of the node's metrics; nil for a private one.
	Metrics metrics.Registry
}

// hintQueueSize is the capacity of the queue of hints. When the queue is full a
// further hint is dropped and counted: the next message repeats the number.
const hintQueueSize = 64

// Node distributes shared state for one process. Its methods are safe for
// concurrent use.
type Node struct {
	Config
	hints          chan hint
	membersChanged chan struct{}
	count          counters

	mu sync.Mutex
	// random is guarded by mu, as are the fields down to lastPlatformContact.
	random *rand.Rand
	// pending holds members to push, by name.
	pending map[string]*zinniaquayv1.Member
	// highestObserved is the highest configuration number received from peers.
	highestObserved uint64
	// fetching holds the fetches in progress, by the peer's address.
	fetching map[string]*sharedFetch
	// joined reports whether a peer has sent its list of members.
	joined bool
	// lastPeerContact and lastPlatformContact are the times of the last message
	// from a peer and of the last configuration received from the platform.
	lastPeerContact, lastPlatformContact time.Time

	startOnce sync.Once
	started   chan struct{}
}

// hint is a configuration number that the peer at addr has.
type hint struct {
	number uint64
	addr   string
}

// New returns a node whose loops do not run until Run is called.
func New(c Config) *Node {
	if c.Verdicts == nil {
		c.Verdicts = noVerdicts{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	self := c.Members.Self()
	return &Node{
		Config:          c,
		hints:           make(chan hint, hintQueueSize),
		membersChanged:  make(chan struct{}, 1),
		count:           newCounters(c.Metrics),
		random:          rand.New(rand.NewPCG(xxhash.Sum64String(self.GetName()), self.GetIncarnation())),
		pending:         make(map[string]*zinniaquayv1.Member),
		fetching:        make(map[string]*sharedFetch),
		lastPeerContact: time.Now(),
		started:         make(chan struct{}),
	}
}

// Run runs the node's loops until the context ends.
func (n *Node) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { n.startLoop(ctx) })
	loops.Go(func() { n.fetchLoop(ctx) })
	loops.Go(func() { n.pushLoop(ctx) })
	loops.Go(func() { n.compareLoop(ctx) })
	loops.Go(func() { n.watchLoop(ctx) })
	loops.Go(func() { n.pollLoop(ctx) })
	loops.Go(func() { n.hostsLoop(ctx) })
	loops.Wait()
}

// Started returns a channel that is closed once the process has a configuration
// that it may act on. Before that it must not start any work.
func (n *Node) Started() <-chan struct{} { return n.started }

func (n *Node) isStarted() bool {
	select {
	case <-n.started:
		return true
	default:
		return false
	}
}

// LastPlatformContact returns when a configuration was last received from the
// platform, or the zero time if none was.
func (n *Node) LastPlatformContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastPlatformContact
}

// observeNumber records that a configuration number exists.
func (n *Node) observeNumber(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.highestObserved = max(n.highestObserved, number)
}

// highestKnownNumber returns the highest configuration number that is known to
// exist.
func (n *Node) highestKnownNumber() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.highestObserved, n.Store.Number())
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
