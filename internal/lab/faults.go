package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// CrashingPart is a part of prompts that crashes each engine which begins a response
// on it.
type CrashingPart struct {
	// From and To are when requests with the part come, in seconds, and PerSecond is
	// how many.
	From      float64 `yaml:"from"`
	To        float64 `yaml:"to"`
	PerSecond float64 `yaml:"per_second"`
	// Kind is the kind of these requests. The part replaces the last of the parts that
	// requests of the kind share.
	Kind string `yaml:"kind"`
}

// EngineCrash is a crash of some engines at one moment, whatever they run.
type EngineCrash struct {
	At    float64 `yaml:"at"`
	Count int     `yaml:"count"`
}

// FaultyEngines is a time in which some engines crash with the first tokens of any
// response.
type FaultyEngines struct {
	From  float64 `yaml:"from"`
	To    float64 `yaml:"to"`
	Count int     `yaml:"count"`
}

// GatewayRestart is a restart of a gateway, which loses all that it knows.
type GatewayRestart struct {
	At      float64 `yaml:"at"`
	Gateway int     `yaml:"gateway"`
}

// EngineLimit is a time in which some engines name in their responses how many requests
// a second they take from all gateways together.
type EngineLimit struct {
	From float64 `yaml:"from"`
	To   float64 `yaml:"to"`
	// Share is the share of the engines that do.
	Share     float64 `yaml:"share"`
	PerSecond float64 `yaml:"per_second"`
}

// EngineClosing is a time in which some engines turn all requests away and name a time for
// which they want no more from the gateway.
type EngineClosing struct {
	From float64 `yaml:"from"`
	To   float64 `yaml:"to"`
	// Share is the share of the engines that do, and ForSeconds the time that they name.
	Share      float64 `yaml:"share"`
	ForSeconds float64 `yaml:"for_seconds"`
}

// ClosingArrival is a request that reached an engine on a day on which engines close.
type ClosingArrival struct {
	Engine, Gateway string
	At              time.Duration
	// ClosedFor is the time that the engine named when it turned the request away; 0 if it
	// took the request.
	ClosedFor time.Duration
}

// LimitedArrival is a request that reached an engine which named a limit.
type LimitedArrival struct {
	Engine    string
	PerSecond float64
	At        time.Duration
	// SinceNamed is the time since the engine first named the limit, and Told the time
	// since the request's gateway had the first response with it; negative if it had
	// none.
	SinceNamed, Told time.Duration
}

// Faults are the faults of a day.
type Faults struct {
	EngineLimits    []EngineLimit    `yaml:"engine_limits"`
	EngineClosings  []EngineClosing  `yaml:"engine_closings"`
	CrashingParts   []CrashingPart   `yaml:"crashing_parts"`
	EngineCrashes   []EngineCrash    `yaml:"engine_crashes"`
	EnginesLeaving  []EngineLeaving  `yaml:"engines_leaving"`
	FaultyEngines   []FaultyEngines  `yaml:"faulty_engines"`
	GatewayRestarts []GatewayRestart `yaml:"gateway_restarts"`
	// CrashDelayMS is the time from the first token of a response on a crashing part, or
	// of any at a faulty engine, to the crash, and RestartMS the time after which an engine is back.
	CrashDelayMS float64 `yaml:"crash_delay_ms"`
	RestartMS    float64 `yaml:"restart_ms"`
	// ViewDelayMS is the time after which gateways' views show that an engine crashed or
	// is back.
	ViewDelayMS float64 `yaml:"view_delay_ms"`
	// StoreSilentFrom is when the store falls silent, in seconds, so that views don't
	// change any more; 0 if it doesn't.
	StoreSilentFrom float64 `yaml:"store_silent_from"`
	// ReportLoss is the probability that a report between gateways is lost.
	ReportLoss float64 `yaml:"report_loss"`
}

// Defaults of the faults' times, in ms.
const (
	defaultCrashDelayMS = 60
	defaultRestartMS    = 4000
	defaultViewDelayMS  = 1200
)

func (f *Faults) setDefaults() {
	for _, field := range []struct {
		value *float64
		ms    float64
	}{{&f.CrashDelayMS, defaultCrashDelayMS}, {&f.RestartMS, defaultRestartMS}, {&f.ViewDelayMS, defaultViewDelayMS}} {
		if *field.value == 0 {
			*field.value = field.ms
		}
	}
}

func (d *Workload) checkFaults() error {
	for _, p := range d.Faults.CrashingParts {
		if p.PerSecond <= 0 || !slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == p.Kind && len(k.Shared) > 0 }) {
			return fmt.Errorf("field faults.crashing_parts: per_second must be above 0, and kind %q one with shared parts", p.Kind)
		}
	}
	for _, r := range d.Faults.GatewayRestarts {
		if r.Gateway < 0 || r.Gateway >= d.Gateways {
			return fmt.Errorf("field faults.gateway_restarts: there is no gateway %d", r.Gateway)
		}
	}
	return nil
}

// crashingPartID is the ID of the first crashing part of a day. No other part has one
// that high.
const crashingPartID = uint64(1) << 62

// crashingCallers returns the callers whose requests hold crashing parts.
func (d *Workload) crashingCallers(seed uint64, firstID uint64) []*caller {
	rng := rand.New(rand.NewPCG(seed, 2))
	var callers []*caller
	for i, p := range d.Faults.CrashingParts {
		kind := slices.IndexFunc(d.Kinds, func(k Kind) bool { return k.Name == p.Kind })
		for at := p.From + rng.ExpFloat64()/p.PerSecond; at < p.To; at += rng.ExpFloat64() / p.PerSecond {
			c := d.caller(rng, firstID+uint64(len(callers)), at, kind, rng.IntN(d.Accounts))
			c.crashing = true
			replaced := &c.parts[max(0, len(c.parts)-2)]
			replaced.id = crashingPartID + uint64(i)
			replaced.key ^= replaced.id
			callers = append(callers, c)
		}
	}
	return callers
}

// scheduleFaults puts the faults of a day on its agenda.
func (w *world) scheduleFaults() {
	f := w.day.Faults
	if len(f.CrashingParts)+len(f.EngineCrashes)+len(f.FaultyEngines) > 0 {
		w.reviewCrashes()
	}
	for _, c := range f.EngineCrashes {
		w.after(ms(c.At*1000), func() {
			for _, e := range w.pick(c.Count) {
				w.crash(e)
			}
		})
	}
	for _, l := range f.EnginesLeaving {
		w.after(ms(l.At*1000), func() {
			for _, e := range w.pick(l.Count) {
				w.leave(e, l)
			}
		})
	}
	for _, spell := range f.FaultyEngines {
		w.after(ms(spell.From*1000), func() {
			for _, e := range w.pick(spell.Count) {
				e.faulty = true
				w.after(ms((spell.To-spell.From)*1000), func() { e.faulty = false })
			}
		})
	}
	for _, r := range f.GatewayRestarts {
		w.after(ms(r.At*1000), func() { w.restart(w.gateways[r.Gateway]) })
	}
}

// reviewInterval is the pause between reviews of evidence on crashes, as in the product.
const reviewInterval = 250 * time.Millisecond

// reviewCrashes has gateways review their evidence on crashes, until callers stop coming.
func (w *world) reviewCrashes() {
	for _, g := range w.gateways {
		g.policy.ReviewCrashes(w.time())
		w.spreadNews(g)
	}
	if w.now < ms(w.day.Seconds*1000) {
		w.after(reviewInterval, w.reviewCrashes)
	}
}

// limitOf returns the request rate that an engine names now; it reports false if it
// names none.
func (w *world) limitOf(e *engine) (perSecond float64, named bool) {
	for _, l := range w.day.Faults.EngineLimits {
		limited := int(l.Share * float64(w.day.Engines))
		if w.now >= ms(l.From*1000) && w.now < ms(l.To*1000) && slices.Contains(w.limitOrder[:limited], e.id) {
			return l.PerSecond, true
		}
	}
	return 0, false
}

// tellLimit passes the limit in a response on to the gateway that gets it.
func (w *world) tellLimit(x *call) {
	perSecond, named := w.limitOf(x.engine)
	if named && x.engine.namedAt == 0 {
		x.engine.namedAt = w.now
	}
	w.after(w.hop(), func() {
		if named && x.gateway.told[x.engine.id] == 0 {
			x.gateway.told[x.engine.id] = w.now
		}
		x.policy.ObserveLimit(x.engine.id, perSecond, named, start.Add(x.sent), w.time())
	})
}

// recordLimited records a request that reaches an engine with a limit.
func (w *world) recordLimited(x *call) {
	perSecond, named := w.limitOf(x.engine)
	if !named || x.engine.namedAt == 0 {
		return
	}
	a := LimitedArrival{Engine: x.engine.id, PerSecond: perSecond, At: w.now, SinceNamed: w.now - x.engine.namedAt, Told: -1}
	if told := x.gateway.told[x.engine.id]; told > 0 {
		a.Told = w.now - told
	}
	w.limited = append(w.limited, a)
}

// closingOf returns the time for which an engine wants no requests from a gateway that
// sends one now; 0 if it takes requests.
func (w *world) closingOf(e *engine) time.Duration {
	for _, c := range w.day.Faults.EngineClosings {
		closed := int(c.Share * float64(w.day.Engines))
		if w.now >= ms(c.From*1000) && w.now < ms(c.To*1000) && slices.Contains(w.limitOrder[:closed], e.id) {
			return ms(c.ForSeconds * 1000)
		}
	}
	return 0
}

// turnedAway refuses a request if its engine is closed now, and reports whether it is.
func (w *world) turnedAway(x *call) bool {
	if len(w.day.Faults.EngineClosings) == 0 {
		return false
	}
	closedFor := w.closingOf(x.engine)
	w.closings = append(w.closings, ClosingArrival{x.engine.id, x.gateway.name, w.now, closedFor})
	if closedFor == 0 {
		return false
	}
	started := int64(0)
	if t := w.view.Targets[x.engine.id]; t != nil {
		started = t.StartedUnixMilli
	}
	w.after(w.hop(), func() {
		x.policy.CloseTarget(dispatch.Closing{
			Target: x.engine.id, Addr: x.engine.id, StartedUnixMilli: started, SentAt: start.Add(x.sent), For: closedFor,
		}, w.time())
		if x.done {
			return
		}
		w.end(x, dispatch.NotRun)
		w.refuse(x, "turned away", fullRetry)
	})
	return true
}

// crash ends an engine with all that it runs; another incarnation follows. It reports
// false if the engine has crashed already.
func (w *world) crash(e *engine) bool {
	if e.down {
		return false
	}
	e.down = true
	lost := make(map[*gateway][]*call)
	for _, j := range slices.Concat(e.waiting, e.running) {
		if x := j.call; !x.done {
			lost[x.gateway] = append(lost[x.gateway], x)
		}
	}
	e.waiting, e.running = nil, nil
	for _, g := range w.gateways {
		if calls := lost[g]; len(calls) > 0 {
			w.after(w.hop(), func() { w.connectionsLost(g, calls, e.id) })
		}
	}
	w.after(ms(w.day.Faults.ViewDelayMS), func() { w.register(e.id, nil) })
	w.after(ms(w.day.Faults.RestartMS), func() {
		w.starts++
		next := newEngine(e.id, w.day.Engine, e.known)
		w.engines[e.id] = next
		w.played = append(w.played, next)
		started := int64(w.starts)
		w.after(ms(w.day.Faults.ViewDelayMS), func() { w.register(e.id, w.day.target(e.id, started)) })
	})
	return true
}

// connectionsLost tells a gateway that its requests at an engine lost their
// connections, and that the engine refuses others.
func (w *world) connectionsLost(g *gateway, calls []*call, engine string) {
	for i, x := range calls {
		if x.done {
			continue
		}
		if i == 0 {
			x.policy.TargetCrashed(engine, w.time())
		}
		o := dispatch.Failed
		if x.caller.first == 0 {
			o = dispatch.Unreachable
		}
		w.end(x, o)
		w.refuse(x, "target crashed", crashedRetry)
	}
	w.decide(g)
	w.tick(g)
}

// crashedRetry is when callers come back whose target crashed.
const crashedRetry = 50 * time.Millisecond

// refused tells a gateway that nothing listens at an engine's address; the request
// was not sent, and another target is chosen.
func (w *world) refused(x *call) {
	if x.done {
		return
	}
	x.done = true
	w.end(x, dispatch.Unreachable)
	w.enqueue(x.caller, x.gateway, x.request.Arrived)
}

// register puts the entry of an engine into all views, or takes it out if there is none.
func (w *world) register(id string, entry *catalog.Target) {
	if f := w.day.Faults; f.StoreSilentFrom > 0 && w.now >= ms(f.StoreSilentFrom*1000) {
		return
	}
	view := *w.view
	view.Targets = maps.Clone(w.view.Targets)
	if entry == nil {
		delete(view.Targets, id)
	} else {
		view.Targets[id] = entry
	}
	w.view = &view
	for _, g := range w.gateways {
		g.policy.SetView(w.view)
		w.decide(g)
	}
}

func (d *Workload) target(id string, started int64) *catalog.Target {
	return &catalog.Target{ID: id, Service: service, Addr: id, Zone: "a", Slots: d.Engine.Slots, StartedUnixMilli: started}
}

// restart replaces a gateway by one that knows only the view.
func (w *world) restart(g *gateway) {
	for _, x := range g.calls {
		if !x.done {
			if x.engine != nil {
				x.engine.remove(x)
			}
			w.refuse(x, "gateway restarted", crashedRetry)
		}
	}
	g.calls, g.told, g.toldLeaving = make(map[uint64]*call), make(map[string]time.Duration), make(map[*engine]time.Duration)
	g.policy = w.strategy.New(g.name, w.day, w.view)
}
