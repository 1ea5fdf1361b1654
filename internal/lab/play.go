// Package lab plays loads on a model of the systems served: callers, gateways that
// decide by the product's own code or by simpler ways, and engines. Time is made up,
// so that a day takes a second, and the same seed gives the same figures.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/exchange"
)

// caller is one caller's request with all of its attempts.
type caller struct {
	id      uint64
	kind    *Kind
	account string
	at      time.Duration
	parts   []part
	in, out int
	// gateway is the index of the only gateway that the caller reaches, or -1 if it
	// reaches another with each attempt.
	gateway int
	// left is the number of times that the caller comes back.
	left int
	// first is when the first event came, and gap the longest pause after it.
	first, gap time.Duration
	// begun is when the first token was generated; 0 if none was.
	begun time.Duration
	ended ending
	// reason is why the last attempt was refused.
	reason string
	// crashing says that the prompt holds a part that crashes engines.
	crashing bool
}

// ending says how a caller's request ended.
type ending int

const (
	open ending = iota
	answered
	refused
	gaveUp
)

// call is one attempt of a caller.
type call struct {
	caller  *caller
	request *dispatch.Request
	gateway *gateway
	// policy is that of the gateway when the attempt came.
	policy Policy
	engine *engine
	// sent is when the request was sent to its engine.
	sent time.Duration
	// started is the start of the engine in the view by which it was chosen.
	started   int64
	out       int
	lastEvent time.Duration
	done      bool
}

// gateway is one gateway with its policy.
type gateway struct {
	name    string
	policy  Policy
	ticking bool
	calls   map[uint64]*call
	// newsLeft is the number of rounds of news that are left, newsDue says that one is
	// on the agenda, and newsAt is when the last one was.
	newsLeft int
	newsDue  bool
	newsAt   time.Duration
	// told holds when the gateway first had a response of an engine with a limit.
	told map[string]time.Duration
	// toldLeaving holds when the gateway first had a response of an engine that was leaving.
	toldLeaving map[*engine]time.Duration
	// nextPeer is the index among the others of the gateway that gets the next report.
	nextPeer int
	// host is the gateway's processor, or nil if it has as much as it needs.
	host *host
}

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// agenda is what is due, the earliest first.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world is a day that is being played.
type world struct {
	day      Workload
	now      time.Duration
	agenda   agenda
	order    int
	gateways []*gateway
	engines  map[string]*engine
	strategy Strategy
	view     *catalog.View
	// played holds all incarnations of engines, and starts counts those after the
	// first.
	played []*engine
	starts int
	// rng draws what faults hit and which reports are lost.
	rng *rand.Rand
	// usageRNG draws which reports on usage are lost.
	usageRNG *rand.Rand
	// crashCauses holds when engines crashed under a crashing part, and crashingSent
	// when the requests with such a part were sent that reached an engine.
	crashCauses, crashingSent []time.Duration
	// limitOrder holds the engines in the order in which they name limits, and limited
	// the requests that reached one which did.
	limitOrder []string
	limited    []LimitedArrival
	// leavingArrivals holds the requests that reached engines which were leaving.
	leavingArrivals []LeavingArrival
	// closings holds the requests that reached engines on a day on which some close.
	closings []ClosingArrival
	// wronglyQuarantined counts the refusals of requests without a crashing part because
	// of a quarantined one.
	wronglyQuarantined int
	// wronglyHeld holds when such requests were told to come back, because a part was
	// being tried.
	wronglyHeld []time.Duration
}

// decideEvery is the pause between decisions while requests wait, as in the product.
const decideEvery = 10 * time.Millisecond

// Simulate plays a day by one way and returns what callers got.
func Simulate(d Workload, w Strategy, seed uint64) *Result {
	if w.SingleGateway {
		d.Gateways, d.HopMS, d.Routes, d.HostLimits = 1, 0, nil, nil
	}
	d.Faults.setDefaults()
	world := newWorld(d, w, seed)
	callers := d.arrivals(seed)
	crashing := d.crashingCallers(seed, uint64(len(callers)+1))
	for _, c := range slices.Concat(callers, crashing) {
		world.after(c.at, func() { world.attempt(c) })
	}
	world.scheduleFaults()
	for world.agenda.Len() > 0 {
		e := heap.Pop(&world.agenda).(event)
		world.now = e.at
		e.do()
	}
	return newResult(&d, w.Name, callers, world)
}

func newWorld(d Workload, w Strategy, seed uint64) *world {
	view, known := viewOf(&d), make(map[uint64]bool)
	world := &world{day: d, strategy: w, view: view, engines: make(map[string]*engine), rng: rand.New(rand.NewPCG(seed, 3)), usageRNG: rand.New(rand.NewPCG(seed, 4))}
	for i := range d.Engines {
		e := newEngine(engineID(i), d.Engine, known)
		world.engines[e.id] = e
		world.limitOrder = append(world.limitOrder, e.id)
		world.played = append(world.played, e)
	}
	for i := range d.Gateways {
		world.gateways = append(world.gateways, &gateway{
			name: gatewayName(i), policy: w.New(gatewayName(i), d, view), calls: make(map[uint64]*call), told: make(map[string]time.Duration),
			toldLeaving: make(map[*engine]time.Duration), nextPeer: i,
		})
	}
	for _, l := range d.HostLimits {
		h := &host{perSecond: l.PerSecond}
		world.gateways[l.Gateway].host = h
		world.after(lagProbeInterval, func() { world.probeHost(h) })
	}
	if d.Gateways > 1 {
		for i, g := range world.gateways {
			world.after(ms(d.ReportMS*float64(i)/float64(d.Gateways)), func() { world.reports(g) })
			world.after(ms(firstUsageMS*float64(i)/float64(d.Gateways)), func() { world.usageReports(i, 0) })
		}
	}
	return world
}

var _ Policy = (*dispatch.Dispatcher)(nil)

// after does something after a time.
func (w *world) after(wait time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, event{w.now + wait, w.order, do})
}

func (w *world) time() time.Time { return start.Add(w.now) }

func (w *world) hop() time.Duration { return ms(w.day.HopMS) }

// reports passes the reports of a gateway to all others, until callers stop coming.
func (w *world) reports(from *gateway) {
	r := from.policy.Report(true, w.time())
	for _, to := range w.reportPeers(from) {
		if !w.lost() {
			w.after(w.hop(), func() { w.merge(to, from, r) })
		}
	}
	if w.now < ms(w.day.Seconds*1000) {
		pause := w.day.ReportMS
		if w.day.ReportSpreadMS > 0 {
			pause += w.day.ReportSpreadMS * w.rng.Float64()
		}
		w.after(ms(pause), func() { w.reports(from) })
	}
}

// reportPeers returns the gateways that get the next report of one: all others, or some in
// turn.
func (w *world) reportPeers(from *gateway) []*gateway {
	var peers []*gateway
	for _, g := range w.gateways {
		if g != from {
			peers = append(peers, g)
		}
	}
	count := w.day.ReportPeers
	if count <= 0 || count >= len(peers) {
		return peers
	}
	next := make([]*gateway, count)
	for i := range next {
		next[i] = peers[(from.nextPeer+i)%len(peers)]
	}
	from.nextPeer = (from.nextPeer + count) % len(peers)
	return next
}

func (w *world) merge(to, from *gateway, r dispatch.Report) {
	to.policy.Merge(from.name, r, w.time())
	w.spreadNews(to)
}

// spreadNews passes on what a gateway learned of crashes, as the exchange does.
func (w *world) spreadNews(from *gateway) {
	if w.strategy.NoNews || !from.policy.TakeNews() {
		return
	}
	from.newsLeft = exchange.NewsRounds
	if !from.newsDue {
		from.newsDue = true
		w.after(max(0, from.newsAt+exchange.NewsInterval-w.now), func() { w.newsRound(from) })
	}
}

// newsRound passes news on to a few other gateways.
func (w *world) newsRound(from *gateway) {
	from.newsAt, from.newsDue = w.now, false
	r := from.policy.CrashReport(w.time())
	sent := 0
	for _, i := range w.rng.Perm(len(w.gateways)) {
		if to := w.gateways[i]; to != from && sent < exchange.NewsFanout {
			sent++
			if !w.lost() {
				w.after(w.hop(), func() { w.merge(to, from, r) })
			}
		}
	}
	if from.newsLeft--; from.newsLeft > 0 {
		from.newsDue = true
		w.after(exchange.NewsInterval, func() { w.newsRound(from) })
	}
}

// lost draws whether a report is lost.
func (w *world) lost() bool {
	return w.day.Faults.ReportLoss > 0 && w.rng.Float64() < w.day.Faults.ReportLoss
}

// attempt lets a caller ask a gateway, another one each time.
func (w *world) attempt(c *caller) {
	g := w.gateways[(c.id*7+uint64(c.left))%uint64(len(w.gateways))]
	if c.gateway >= 0 {
		g = w.gateways[c.gateway]
	}
	if r := w.day.route(c.account); r != nil {
		g = w.routed(c, r)
	}
	w.reach(c, g)
}

// enqueue queues a request at a gateway.
func (w *world) enqueue(c *caller, g *gateway, arrived time.Time) {
	r := &dispatch.Request{
		Sequence: g.policy.NextSequence(), Account: c.account, Service: service, Priority: 1, Arrived: arrived,
		Objective: ms(c.kind.ObjectiveMS), Deadline: start.Add(c.at + ms(c.kind.DeadlineMS)), TokensIn: c.in, TokensOut: c.out,
	}
	for _, p := range c.parts {
		r.Parts = append(r.Parts, dispatch.PromptPart{ID: p.id, Key: p.key, Tokens: p.length})
	}
	x := &call{caller: c, request: r, gateway: g, policy: g.policy, out: c.out}
	if !g.policy.Enqueue(r, w.time()) {
		w.refuse(x, "full", time.Second)
		return
	}
	g.calls[r.Sequence] = x
	w.after(c.at+ms(c.kind.DeadlineMS)-w.now, func() { w.giveUp(x) })
	if g.policy.Queued() == 1 {
		w.decide(g)
	}
	w.tick(g)
}

// tick lets a gateway decide again while requests wait.
func (w *world) tick(g *gateway) {
	if g.ticking || g.policy.Queued() == 0 {
		return
	}
	g.ticking = true
	w.after(decideEvery, func() {
		g.ticking = false
		w.decide(g)
		w.tick(g)
	})
}

func (w *world) decide(g *gateway) {
	for _, decision := range g.policy.Decide(w.time()) {
		x := g.calls[decision.Request.Sequence]
		if decision.Action != dispatch.Send {
			delete(g.calls, decision.Request.Sequence)
			w.refuse(x, reasons[decision.Action], decision.RetryAfter)
			continue
		}
		x.engine, x.started, x.sent = w.engines[decision.Target], decision.StartedUnixMilli, w.now
		w.after(w.hop(), func() { w.arrive(x) })
	}
}

// reasons names why requests are refused.
var reasons = map[dispatch.Action]string{
	dispatch.RefuseNoTarget: "no target", dispatch.RefuseLate: "too late", dispatch.RefuseFull: "full",
	dispatch.RefuseQuarantined: quarantinedReason, dispatch.RefuseHeld: heldReason,
}

// quarantinedReason is why requests are refused that hold a part which crashes engines.
const quarantinedReason = "quarantined"

// heldReason is why requests are refused that hold a part which is being tried.
const heldReason = "part held"

// refuse tells a caller that its request was not run, and when to come back. Callers
// wait no longer than a third of the time that they have.
func (w *world) refuse(x *call, reason string, retryAfter time.Duration) {
	x.done = true
	c := x.caller
	c.reason = reason
	left := c.at + ms(c.kind.DeadlineMS) - w.now
	if reason == quarantinedReason && !c.crashing {
		w.wronglyQuarantined++
	}
	if reason == heldReason && !c.crashing {
		w.wronglyHeld = append(w.wronglyHeld, w.now)
	}
	if c.left == 0 || left <= 0 || reason == quarantinedReason {
		c.ended = refused
		return
	}
	c.left--
	w.after(min(retryAfter, left/3)+2*w.hop(), func() { w.attempt(c) })
}

// arrive brings a request to its engine.
func (w *world) arrive(x *call) {
	if x.done {
		return
	}
	if x.engine.down {
		w.after(w.hop(), func() { w.refused(x) })
		return
	}
	w.recordLimited(x)
	w.recordLeaving(x)
	if w.turnedAway(x) {
		return
	}
	if x.caller.crashing {
		w.crashingSent = append(w.crashingSent, x.sent)
	}
	if !x.engine.add(x) {
		w.tellLeaving(x)
		w.end(x, dispatch.NotRun)
		w.refuse(x, "engine full", fullRetry)
		return
	}
	if !x.engine.stepping {
		w.step(x.engine)
	}
}

// fullRetry is when callers come back that a full engine refused.
const fullRetry = 150 * time.Millisecond

// step plays the next step of an engine.
func (w *world) step(e *engine) {
	took := e.step()
	if took == 0 {
		return
	}
	w.after(ms(took), func() {
		if e.down {
			return
		}
		for _, j := range e.finish(took) {
			w.token(j)
		}
		w.step(e)
	})
}

// token passes a token on that a request has made.
func (w *world) token(j *job) {
	x, c := j.call, j.call.caller
	now := w.now + w.hop()
	if j.made == 1 {
		c.first, c.begun = now-c.at, w.now
		x.lastEvent = now
		w.after(w.hop(), func() {
			x.policy.ResponseStarted(x.request.Sequence, w.time())
			w.spreadNews(x.gateway)
		})
		w.tellLimit(x)
		w.tellLeaving(x)
		if e := x.engine; c.crashing || e.faulty {
			w.after(ms(w.day.Faults.CrashDelayMS), func() {
				if w.crash(e) && c.crashing {
					w.crashCauses = append(w.crashCauses, w.now)
				}
			})
		}
	}
	if j.made%w.day.Engine.Stride == 0 || j.made == x.out {
		c.gap = max(c.gap, now-x.lastEvent)
		x.lastEvent = now
	}
	if j.made == x.out {
		x.done = true
		c.ended = answered
		w.after(w.hop(), func() { w.end(x, dispatch.Answered) })
	}
}

func (w *world) end(x *call, o dispatch.Outcome) {
	if x.gateway.calls[x.request.Sequence] == x {
		delete(x.gateway.calls, x.request.Sequence)
	}
	x.policy.End(x.request.Sequence, o, w.time())
	w.spreadNews(x.gateway)
}

// giveUp lets a caller leave whose deadline has passed.
func (w *world) giveUp(x *call) {
	if x.done {
		return
	}
	x.done = true
	x.caller.ended = gaveUp
	if x.policy.Withdraw(x.request.Sequence) {
		delete(x.gateway.calls, x.request.Sequence)
		return
	}
	if x.engine != nil {
		x.engine.remove(x)
	}
	w.end(x, dispatch.Abandoned)
}
