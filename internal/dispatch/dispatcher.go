package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// Config holds the figures of a deployment that decisions keep to.
type Config struct {
	// Self is the name of this router.
	Self string
	// Zone is the availability zone of this router.
	Zone string
	// ShareWindow is the time over which shares of accounts are counted.
	ShareWindow time.Duration
	// ColdOverage and ColdTolerance bound the requests to a cold target in any
	// second over the whole fleet: its rate times the one plus the other.
	ColdOverage, ColdTolerance float64
	// MaxQueued is the number of requests that wait here at most.
	MaxQueued int
	// MaxWaitFraction is the part of its objective for which a request waits for room; 0
	// stands for DefaultMaxWaitFraction.
	MaxWaitFraction float64
	// MaxLateLoad is the part of a target's places, and MaxLateBacklog the backlog, up to
	// which requests are served that can only be late; 0 stands for
	// DefaultMaxLateLoad and DefaultMaxLateBacklog.
	MaxLateLoad    float64
	MaxLateBacklog time.Duration
}

// Dispatcher holds the requests that wait at one router and what it believes of
// the targets. It is not safe for concurrent use.
type Dispatcher struct {
	limits   Config
	view     *catalog.View
	targets  map[string]*target
	services map[string][]*target
	byShort  map[uint32]*target
	queue    []*Request
	placed   map[uint64]*placement
	usage    *usage
	peers    map[string]*peer
	shared   time.Time
	serial   uint64
	// generation rises with each view.
	generation uint64
	// round rises with each decision from 1.
	round uint64
}

// placement is a request that was sent and has not ended.
type placement struct {
	request *Request
	target  *target
	load    Load
	sent    time.Time
	began   bool
}

// New returns a dispatcher without targets.
func New(limits Config) *Dispatcher {
	if limits.MaxWaitFraction == 0 {
		limits.MaxWaitFraction = DefaultMaxWaitFraction
	}
	if limits.MaxLateLoad == 0 {
		limits.MaxLateLoad = DefaultMaxLateLoad
	}
	if limits.MaxLateBacklog == 0 {
		limits.MaxLateBacklog = DefaultMaxLateBacklog
	}
	return &Dispatcher{
		limits: limits, view: &catalog.View{},
		targets: make(map[string]*target), services: make(map[string][]*target), byShort: make(map[uint32]*target),
		placed: make(map[uint64]*placement), usage: newUsage(limits.ShareWindow), peers: make(map[string]*peer),
	}
}

// SetView takes over a new view of the deployment. A target that started anew
// is a new one.
func (d *Dispatcher) SetView(view *catalog.View) {
	d.view = view
	known := d.targets
	d.targets = make(map[string]*target, len(view.Targets))
	d.services = make(map[string][]*target)
	d.byShort = make(map[uint32]*target, len(view.Targets))
	for id, t := range view.Targets {
		own, ok := known[id]
		if !ok || own.StartedUnixMilli != t.StartedUnixMilli || own.Addr != t.Addr {
			own = newTarget(t, d.memoryOf(t.Service))
		}
		own.Target = t
		d.targets[id] = own
		d.byShort[own.short] = own
		d.services[t.Service] = append(d.services[t.Service], own)
	}
	d.generation++
	for _, targets := range d.services {
		markLong(targets)
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		for i, t := range targets {
			t.index, t.of, t.generation = i, len(targets), d.generation
		}
	}
	d.sumPeers()
}

// memoryOf returns the memory of a service's engines in tokens, or 0.
func (d *Dispatcher) memoryOf(service string) int {
	if d.view.Config == nil || d.view.Config.Services[service] == nil {
		return 0
	}
	return d.view.Config.Services[service].MemoryTokens
}

// NextSequence returns a number for a new request.
func (d *Dispatcher) NextSequence() uint64 {
	d.serial++
	return d.serial
}

// Enqueue adds a request. It reports false if too many wait.
func (d *Dispatcher) Enqueue(r *Request, now time.Time) bool {
	if len(d.queue) >= d.limits.MaxQueued {
		return false
	}
	r.prepare()
	if !r.Resume {
		d.usage.byHash(r.hash).asked.add(r.size(), now, d.usage.window)
	}
	d.queue = append(d.queue, r)
	return true
}

// Withdraw removes a request that still waits. It reports false if the request
// does not wait any more.
func (d *Dispatcher) Withdraw(sequence uint64) bool {
	for i, r := range d.queue {
		if r.Sequence == sequence {
			d.queue = slices.Delete(d.queue, i, i+1)
			return true
		}
	}
	return false
}

// Queued returns the number of requests that wait.
func (d *Dispatcher) Queued() int { return len(d.queue) }

// Running returns the number of requests that were sent and have not ended.
func (d *Dispatcher) Running() int { return len(d.placed) }

// mostConsidered is the number of waiting requests, the first in order, that one
// decision looks at; those behind them get no room before them.
const mostConsidered = 48

// shareEvery is the pause between two computations of the accounts' shares.
const shareEvery = 50 * time.Millisecond

// Decide sends and refuses what it can and leaves the rest waiting.
func (d *Dispatcher) Decide(now time.Time) []Decision {
	if len(d.queue) == 0 {
		return nil
	}
	if now.Sub(d.shared) >= shareEvery {
		d.shared = now
		d.usage.share(d.capacity(), now)
	}
	d.round++
	d.sortQueue(now)
	var decisions []Decision
	waiting := d.queue[:0]
	for i, r := range d.queue {
		if i >= mostConsidered && now.Sub(r.Arrived) <= d.patience(r) {
			waiting = append(waiting, r)
			continue
		}
		decision, decided := d.decide(r, now)
		if !decided {
			waiting = append(waiting, r)
			continue
		}
		decisions = append(decisions, decision)
	}
	clear(d.queue[len(waiting):])
	d.queue = waiting
	for i := range decisions {
		decisions[i].Queued = len(waiting)
		decisions[i].ShareRatio = decisions[i].Request.order.spare
	}
	return decisions
}

// capacity returns what the operator says all engines produce, in tokens a
// second.
func (d *Dispatcher) capacity() float64 {
	if d.view.Config == nil {
		return 0
	}
	return d.view.Config.Limits.TokensPerSecond
}

// decide decides on one request, or leaves it waiting.
func (d *Dispatcher) decide(r *Request, now time.Time) (Decision, bool) {
	c, free, some := d.choose(r, now)
	if !some {
		if d.hopeless(r, now) {
			return Decision{Request: r, Action: RefuseNoTarget, RetryAfter: retryNoTarget}, true
		}
		return Decision{}, false
	}
	if c.ok && d.admits(r, c, now) {
		return d.place(r, c, now), true
	}
	if free.ok && d.spills(r, now) && d.admits(r, free, now) {
		return d.place(r, free, now), true
	}
	if d.tooLate(r, c, now) {
		return Decision{Request: r, Action: RefuseLate, PredictedWait: c.first, RetryAfter: d.retryAfter(c)}, true
	}
	return Decision{}, false
}

// place sends a request to a candidate.
func (d *Dispatcher) place(r *Request, c candidate, now time.Time) Decision {
	t := c.target
	load := Load{Running: 1}
	if r.TokensIn > 0 {
		load.Backlog = float64(max(0, r.TokensIn-c.kept))
		load.Memory = float64(r.TokensIn + r.TokensOut)
		t.parts.use(r.Parts)
	}
	if t.Cold(now) {
		d.takeCold(t, now)
	}
	t.own = t.own.plus(load)
	t.prospect.round = 0
	d.placed[r.Sequence] = &placement{request: r, target: t, load: load, sent: now}
	if !r.Resume {
		d.usage.get(r.Account, r.size(), now)
	}
	return Decision{Request: r, Action: Send, Target: t.ID, Addr: t.Addr, PredictedWait: c.first, CachedTokens: c.kept}
}

// ResponseStarted notes that a request's answer has begun: its prompt has been read.
func (d *Dispatcher) ResponseStarted(sequence uint64, now time.Time) {
	p := d.placed[sequence]
	if p == nil || p.began {
		return
	}
	p.began = true
	t := p.target
	if p.load.Backlog > 0 {
		since := p.sent
		if t.lastFirst.After(since) {
			since = t.lastFirst
		}
		t.rate.learn(p.load.Backlog, now.Sub(since))
		t.lastFirst = now
	}
	t.own = t.own.minus(Load{Backlog: p.load.Backlog})
	p.load.Backlog = 0
}

// End notes how a request that was sent has ended.
func (d *Dispatcher) End(sequence uint64, o Outcome, now time.Time) {
	p := d.placed[sequence]
	if p == nil {
		return
	}
	delete(d.placed, sequence)
	p.target.own = p.target.own.minus(p.load)
	p.target.health.note(o, now)
	if o == NotRun || o == Unreachable {
		d.usage.get(p.request.Account, -p.request.size(), now)
	}
}

// orderKey orders waiting requests; less starts first.
type orderKey struct {
	// spare is 0 for accounts within their share, and else what the account got
	// beside it.
	spare    float64
	priority int
	late     int
	density  float64
}

func (a orderKey) compare(b orderKey) int {
	return cmp.Or(
		cmp.Compare(a.spare, b.spare),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.late, b.late),
		cmp.Compare(b.density, a.density),
	)
}

// shareSlack is the part of its share up to which an account's requests go
// before those that use spare capacity; usage is known a little late.
const shareSlack = 1.2

// Weights of the order among requests of accounts within their share.
const (
	// outputWorth is what a generated token is worth beside one read, from the
	// operator's definition of a generation's size.
	outputWorth = 10
	// placeCost is the cost in ms of holding one of an engine's places for one
	// token: a step of some 16 ms for one place of 64.
	placeCost = 0.25
)

// sortQueue orders the queue: accounts within their share first, then by rank,
// then requests that can still be on time, then by what is gained for the time
// that an engine spends.
func (d *Dispatcher) sortQueue(now time.Time) {
	for _, r := range d.queue {
		r.order = orderKey{priority: r.Priority, density: r.density}
		if ratio := d.usage.byHash(r.hash).ratio; ratio > shareSlack {
			r.order.spare = ratio
		}
		if now.Sub(r.Arrived) > r.Objective {
			r.order.late = 1
		}
	}
	slices.SortStableFunc(d.queue, func(a, b *Request) int { return a.order.compare(b.order) })
}
