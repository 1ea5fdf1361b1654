package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// Config holds the identity of a router and the limits that its decisions use.
type Config struct {
	// Self is the name of this router.
	Self string
	// Zone is the availability zone of this router.
	Zone string
	// ShareWindow is the time over which account usage is counted for shares.
	ShareWindow time.Duration
	// ColdOverage and ColdTolerance bound the requests that the whole fleet sends
	// to a cold target in any second: its rate times ColdOverage, plus
	// ColdTolerance.
	ColdOverage, ColdTolerance float64
	// MaxQueued is the largest number of requests in the queue.
	MaxQueued int
	// MaxWaitFraction is the fraction of its objective that a request waits for
	// room; 0 means DefaultMaxWaitFraction.
	MaxWaitFraction float64
	// MaxLateLoad is the fraction of a target's slots in use, and MaxLateBacklog
	// the backlog, up to which a target gets requests that can only be late; 0
	// means DefaultMaxLateLoad and DefaultMaxLateBacklog.
	MaxLateLoad    float64
	MaxLateBacklog time.Duration
	// LeavingGrace is how long after a target was first heard to say that it is leaving it
	// may get requests for which there is no other target; 0 for not at all.
	LeavingGrace time.Duration
}

// Dispatcher holds the request queue of one router and its estimate of the state
// of each target. It is not safe for concurrent use.
type Dispatcher struct {
	config Config
	// selfHash is the hash of this router's name.
	selfHash         uint64
	view             *catalog.View
	targets          map[string]*target
	services         map[string][]*target
	targetsByShortID map[uint32]*target
	// leavingNotices holds, by ID, the targets that said that they are leaving.
	leavingNotices map[string]leavingNotice
	queue          []*Request
	inFlight       map[uint64]*placement
	usage          *usage
	peerLoads      peerLoads
	quarantine     *quarantine.Tracker
	// closings holds the closings of targets by their IDs. They outlast views, from which
	// a target may be missing for a while.
	closings      map[string]closing
	sharesUpdated time.Time
	lastSequence  uint64
	// generation is incremented by each change of the targets that are in service.
	generation uint64
	// round is incremented by each Decide; the first is 1.
	round uint64
}

// placement is an in-flight request at its target.
type placement struct {
	request         *Request
	target          *target
	load            Load
	sentAt          time.Time
	responseStarted bool
}

// New returns a dispatcher without targets.
func New(config Config) *Dispatcher {
	if config.MaxWaitFraction == 0 {
		config.MaxWaitFraction = DefaultMaxWaitFraction
	}
	if config.MaxLateLoad == 0 {
		config.MaxLateLoad = DefaultMaxLateLoad
	}
	if config.MaxLateBacklog == 0 {
		config.MaxLateBacklog = DefaultMaxLateBacklog
	}
	return &Dispatcher{
		config: config, selfHash: hashName(config.Self), view: &catalog.View{},
		targets: make(map[string]*target), services: make(map[string][]*target), targetsByShortID: make(map[uint32]*target),
		leavingNotices: make(map[string]leavingNotice),
		inFlight:       make(map[uint64]*placement), usage: newUsage(config.ShareWindow), peerLoads: newPeerLoads(),
		quarantine: quarantine.New(config.Self), closings: make(map[string]closing),
	}
}

// SetView replaces the view of the deployment. A target that has restarted loses
// its previous state.
func (d *Dispatcher) SetView(view *catalog.View) {
	d.view = view
	d.usage.setMembers(view.Members, d.config.Zone)
	previous := d.targets
	d.targets = make(map[string]*target, len(view.Targets))
	d.services = make(map[string][]*target)
	d.targetsByShortID = make(map[uint32]*target, len(view.Targets))
	for id, t := range view.Targets {
		state, ok := previous[id]
		if !ok || state.StartedUnixMilli != t.StartedUnixMilli || state.Addr != t.Addr {
			state = newTarget(t, d.engineMemory(t.Service))
		}
		state.Target = t
		d.targets[id] = state
		d.targetsByShortID[state.shortID] = state
		d.services[t.Service] = append(d.services[t.Service], state)
	}
	d.applyLeavingNotices()
	d.indexTargets()
	d.sumPeerLoads()
	d.retainRuns()
	d.quarantine.SetMembers(slices.Collect(maps.Keys(view.Members)))
}

// indexTargets begins a generation: it numbers the targets of each service and marks those
// that take long prompts.
func (d *Dispatcher) indexTargets() {
	d.generation++
	for _, targets := range d.services {
		markLongPromptTargets(targets)
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		for i, t := range targets {
			t.index, t.serviceSize, t.generation = i, len(targets), d.generation
		}
	}
}

// engineMemory returns the memory of a service's engine in tokens, or 0 if it is
// not configured.
func (d *Dispatcher) engineMemory(service string) int {
	if d.view.Config == nil || d.view.Config.Services[service] == nil {
		return 0
	}
	return d.view.Config.Services[service].MemoryTokens
}

// NextSequence returns the sequence number for a new request.
func (d *Dispatcher) NextSequence() uint64 {
	d.lastSequence++
	return d.lastSequence
}

// Enqueue adds a request to the queue. It reports false if the queue is full.
func (d *Dispatcher) Enqueue(r *Request, now time.Time) bool {
	r.prepare()
	if !r.Resume {
		d.usage.addRequested(d.usage.byHash(r.accountHash), r.Size(), now)
	}
	if len(d.queue) >= d.config.MaxQueued {
		return false
	}
	d.queue = append(d.queue, r)
	return true
}

// RecordUnread counts tokens that an account requested here in requests that were refused
// before they were read. Sizes are as of RequestSize.
func (d *Dispatcher) RecordUnread(account string, tokens float64, now time.Time) {
	d.usage.addRequested(d.usage.account(account), tokens, now)
}

// Withdraw removes a request from the queue. It reports false if the request is
// no longer queued.
func (d *Dispatcher) Withdraw(sequence uint64) bool {
	for i, r := range d.queue {
		if r.Sequence == sequence {
			d.queue = slices.Delete(d.queue, i, i+1)
			return true
		}
	}
	return false
}

// Queued returns the number of requests in the queue.
func (d *Dispatcher) Queued() int { return len(d.queue) }

// Running returns the number of requests that were sent and have not ended.
func (d *Dispatcher) Running() int { return len(d.inFlight) }

// maxConsidered is the number of requests at the front of the queue that one
// Decide examines. Those behind them can't take room ahead of them; they are
// examined only once their maximum wait has passed.
const maxConsidered = 48

// shareInterval is the minimum time between two computations of account shares.
const shareInterval = 50 * time.Millisecond

// Decide returns the queued requests to send or refuse now and leaves the rest in
// the queue.
func (d *Dispatcher) Decide(now time.Time) []Decision {
	if len(d.queue) == 0 {
		return nil
	}
	if now.Sub(d.sharesUpdated) >= shareInterval {
		d.sharesUpdated = now
		d.usage.computeShares(d.capacity(), now)
	}
	d.averageLoads(now)
	d.round++
	d.sortQueue(now)
	var decisions []Decision
	waiting := d.queue[:0]
	for i, r := range d.queue {
		if i >= maxConsidered && now.Sub(r.Arrived) <= d.maxWait(r) {
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
		decisions[i].ShareRatio = decisions[i].Request.order.overShareRatio
	}
	return decisions
}

// capacity returns the configured throughput of all engines together, in tokens
// per second, or 0 if it is not configured.
func (d *Dispatcher) capacity() float64 {
	if d.view.Config == nil {
		return 0
	}
	return d.view.Config.Limits.TokensPerSecond
}

// decide returns the decision on one request. It reports false if the request
// stays in the queue.
func (d *Dispatcher) decide(r *Request, now time.Time) (Decision, bool) {
	if refusal, blocked := d.blockedNow(r, now); blocked {
		d.usage.addRequested(d.usage.byHash(r.accountHash), -r.Size(), now)
		return refusal, true
	}
	best, available, openIn, found := d.choose(r, now)
	if !found && openIn < math.MaxInt64 {
		return d.waitForTarget(r, openIn, now)
	}
	if !found {
		if wait, anyClosed := d.untilOpen(r.Service, r.Versions, now); anyClosed {
			return Decision{Request: r, Action: RefuseNoTarget, RetryAfter: boundRetryAfter(wait)}, true
		}
		if d.noTargetWaitExpired(r, now) {
			return Decision{Request: r, Action: RefuseNoTarget, RetryAfter: noTargetRetryAfter}, true
		}
		return Decision{}, false
	}
	if best.hasRoom && d.admits(r, best, now) {
		return d.place(r, best, now), true
	}
	if available.hasRoom && d.maySpillOver(r, now) && d.admits(r, available, now) {
		return d.place(r, available, now), true
	}
	if d.waitExpired(r, best, now) {
		return Decision{Request: r, Action: RefuseLate, PredictedWait: best.firstToken, RetryAfter: d.retryAfter(best),
			Obstacle: d.obstacle(r, best, now), Overdue: d.overdue(r, now)}, true
	}
	return Decision{}, false
}

// place assigns a request to a candidate's target and accounts for its load.
func (d *Dispatcher) place(r *Request, c candidate, now time.Time) Decision {
	t := c.target
	load := Load{Running: 1}
	if r.TokensIn > 0 {
		load.Backlog = float64(max(0, r.TokensIn-c.cachedTokens))
		load.Memory = float64(r.TokensIn + r.TokensOut)
		t.cache.add(r.Parts)
	}
	if t.Cold(now) {
		d.consumeColdToken(t, now)
	}
	d.consumeLimit(t, now)
	t.ownLoad = t.ownLoad.plus(load)
	t.estimate.round = 0
	d.inFlight[r.Sequence] = &placement{request: r, target: t, load: load, sentAt: now}
	d.quarantine.Sent(r.Sequence, t.incarnation, r.sharedParts, now)
	if !r.Resume {
		d.usage.addReceived(r.Account, r.Size(), now)
	}
	return Decision{Request: r, Action: Send, Target: t.ID, Addr: t.Addr, StartedUnixMilli: t.StartedUnixMilli, PredictedWait: c.firstToken, CachedTokens: c.cachedTokens}
}

// ResponseStarted records that a request's response has started, so its prefill is
// complete.
func (d *Dispatcher) ResponseStarted(sequence uint64, now time.Time) {
	p := d.inFlight[sequence]
	if p == nil || p.responseStarted {
		return
	}
	p.responseStarted = true
	d.quarantine.Began(sequence, now)
	t := p.target
	if p.load.Backlog > 0 {
		since := p.sentAt
		if t.lastFirstToken.After(since) {
			since = t.lastFirstToken
		}
		t.prefillRate.observe(p.load.Backlog, now.Sub(since))
		t.lastFirstToken = now
	}
	t.ownLoad = t.ownLoad.minus(Load{Backlog: p.load.Backlog})
	p.load.Backlog = 0
}

// End records the outcome of an in-flight request.
func (d *Dispatcher) End(sequence uint64, o Outcome, now time.Time) {
	p := d.inFlight[sequence]
	if p == nil {
		return
	}
	delete(d.inFlight, sequence)
	p.target.ownLoad = p.target.ownLoad.minus(p.load)
	p.target.health.record(o, now)
	d.quarantine.Ended(sequence, o == Answered, o != NotRun && o != NotSent, now)
	if (o == NotRun || o == NotSent || o == Unreachable) && !p.request.Resume {
		d.usage.giveBack(p.request.Account, p.request.Size(), p.sentAt, now)
	}
}

// orderKey is the sort key of a queued request; lower keys are decided first.
type orderKey struct {
	// overShareRatio is 0 for accounts within their share, otherwise the ratio of
	// the account's usage to its share.
	overShareRatio float64
	priority       int
	late           int
	valuePerMS     float64
}

func (a orderKey) compare(b orderKey) int {
	return cmp.Or(
		cmp.Compare(a.overShareRatio, b.overShareRatio),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.late, b.late),
		cmp.Compare(b.valuePerMS, a.valuePerMS),
	)
}

// shareSlack is the ratio of usage to share up to which an account counts as within
// its share, so that its requests precede those that use spare capacity. It exceeds
// 1 because usage reports arrive with a delay.
const shareSlack = 1.2

// Weights that order requests of accounts within their share.
const (
	// outputTokenValue is the value of a generated token relative to a prompt
	// token, from the operator's definition of the size of a generation.
	outputTokenValue = 10
	// slotMSPerToken is the cost in ms of holding one of an engine's slots for one
	// token: a step of about 16 ms, for one slot of 64.
	slotMSPerToken = 0.25
)

// sortQueue sorts the queue: accounts within their share first, then by priority,
// then requests that can still be on time, then by value per engine time.
func (d *Dispatcher) sortQueue(now time.Time) {
	for _, r := range d.queue {
		r.order = orderKey{priority: r.Priority, valuePerMS: r.valuePerMS}
		if ratio := d.usage.byHash(r.accountHash).ratio; ratio > shareSlack {
			r.order.overShareRatio = ratio
		}
		if now.Sub(r.Arrived) > r.Objective {
			r.order.late = 1
		}
	}
	slices.SortStableFunc(d.queue, func(a, b *Request) int { return a.order.compare(b.order) })
}
