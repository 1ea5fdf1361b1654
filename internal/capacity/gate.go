// Package capacity decides how many requests may run at one target.
//
// A Gate keeps a window of running requests. While the target is cold the
// window is the target's declared cold bound, for the declared time of a cold
// start and until some requests have succeeded. Then it grows by one for each
// success and, once it has been cut, by one for each window of successes. Signs
// of overload cut it by half. When the target turns cold without warning, the
// window falls back to the cold bound before the next start. Nothing here does
// I/O, starts a goroutine or reads a clock.
package capacity

import (
	"math"
	"time"
)

const (
	// ColdSuccesses is the number of requests that must succeed at the cold
	// bound before a target gets more.
	ColdSuccesses = 4
	// EvidenceAge is how long a sign of life of the target counts. Without a
	// newer one the target gets no more than its cold bound.
	EvidenceAge = 500 * time.Millisecond
	// cutFactor is what a sign of overload leaves of the window.
	cutFactor = 0.5
	// cutPause is the least time between two cuts: one overload shows in all
	// requests that ran through it.
	cutPause = time.Second
	// overloadJump is how many times the usual time to first token is a sign of
	// overload.
	overloadJump = 4
	// coldJump is how many times the usual time to first token shows that the
	// target has turned cold.
	coldJump = 12
	// leastJump is a time to first token that is never taken for a jump.
	leastJump = 200 * time.Millisecond
)

// Outcome tells how a request ended at the target.
type Outcome int

// Outcomes of a request.
const (
	// Succeeded means that the target answered in full.
	Succeeded Outcome = iota
	// Failed means that the target answered with a failure or timed out.
	Failed
	// Refused means that the target took no connection.
	Refused
	// Canceled means that the caller has gone; it says nothing of the target.
	Canceled
	// NeverStarted means that the request was not offered to the target.
	NeverStarted
)

// Bounds are what the configuration declares of a target.
type Bounds struct {
	// MaxCold is the most requests that run while the target is cold, at least 1.
	MaxCold int
	// Max is the most requests that run once it is warm, at least MaxCold.
	Max int
	// ColdDuration is how long a cold start takes.
	ColdDuration time.Duration
}

// Gate holds the window of requests that a target may run. It is not safe for
// concurrent use.
type Gate struct {
	bounds Bounds
	// window is the most requests that may run, fresh evidence given.
	window float64
	// threshold is the window above which growth is slow.
	threshold float64
	// coldSince is when the target was last found cold.
	coldSince time.Time
	// successes is the number of successes since then.
	successes  int
	running    int
	instance   string
	refusing   bool      // the target took no connection, and no sign of life since
	evidence   time.Time // of the newest sign of life
	awaitLoad  time.Time // no start before a load report made after this
	awaitUntil time.Time // or before this time
	lastCut    time.Time
	usual      firstToken
	load       load
}

// New returns the gate of a target that counts as cold from now on.
func New(now time.Time, b Bounds) *Gate {
	g := &Gate{}
	g.turnCold(now)
	g.SetBounds(b)
	return g
}

// SetBounds changes the bounds, when the configuration does.
func (g *Gate) SetBounds(b Bounds) {
	b.MaxCold = max(1, b.MaxCold)
	b.Max = max(b.MaxCold, b.Max)
	if b == g.bounds {
		return
	}
	g.bounds = b
	g.threshold = float64(b.Max)
	g.window = min(g.window, float64(b.Max))
	if g.successes < ColdSuccesses {
		g.window = float64(b.MaxCold)
	}
}

// AwaitLoad lets nothing start before the target has reported its load as of
// now or later, or until the timeout is over. A sidecar that starts calls it
// first: what an earlier incarnation of it started may run still.
func (g *Gate) AwaitLoad(now time.Time, timeout time.Duration) {
	g.awaitLoad, g.awaitUntil = now, now.Add(timeout)
}

// Room returns how many more requests may start.
func (g *Gate) Room(now time.Time) int {
	return max(0, g.allowed(now)-max(g.running, g.load.estimate()))
}

// OverLimit reports whether more requests run, or are about to, than may. The caller
// asks just before a request that it has counted starts.
func (g *Gate) OverLimit(now time.Time) bool { return g.running > g.allowed(now) }

// AboveColdLimit reports whether more requests run than a cold target bears.
func (g *Gate) AboveColdLimit() bool { return g.running > g.bounds.MaxCold }

// allowed returns the most requests that may run now.
func (g *Gate) allowed(now time.Time) int {
	if g.refusing || now.Before(g.awaitUntil) {
		return 0
	}
	if now.Sub(g.evidence) > EvidenceAge {
		return min(int(g.window), g.bounds.MaxCold)
	}
	return int(g.window)
}

// Running returns how many requests run.
func (g *Gate) Running() int { return g.running }

// Window returns how many requests may run, fresh evidence given.
func (g *Gate) Window() int { return int(g.window) }

// Cold reports whether the target has yet to get more than its cold bound.
func (g *Gate) Cold(now time.Time) bool {
	return g.successes < ColdSuccesses || now.Sub(g.coldSince) < g.bounds.ColdDuration
}

// Start notes that a request starts. The caller has asked Room before.
func (g *Gate) Start(now time.Time) {
	g.running++
	g.load.note(now, +1)
}

// Finish notes that a request that was started has ended.
func (g *Gate) Finish(now time.Time, o Outcome) {
	used := 2*g.running >= int(g.window)
	g.running = max(0, g.running-1)
	g.load.note(now, -1)
	switch o {
	case Succeeded:
		g.alive(now)
		g.grow(now, used)
	case Failed:
		g.cut(now)
	case Refused:
		g.ObserveRefused(now)
	case Canceled, NeverStarted:
	}
}

// ObserveProgress takes in a part of an answer.
func (g *Gate) ObserveProgress(now time.Time) { g.alive(now) }

// ObserveFirstToken takes in the time from the start of a request to the first
// token of its answer.
func (g *Gate) ObserveFirstToken(now time.Time, took time.Duration) {
	g.alive(now)
	switch jump := g.usual.jump(took); {
	case jump > coldJump:
		g.turnCold(now)
	case jump > overloadJump:
		g.cut(now)
	}
	g.usual.add(took)
}

// ObserveInstance takes in the identity that the target just gave, empty if it
// has none to give. A new instance is cold whatever was known of the old one.
func (g *Gate) ObserveInstance(now time.Time, instance string) {
	if g.instance != "" && instance != "" && instance != g.instance {
		g.turnCold(now)
	}
	if instance != "" {
		g.instance = instance
	}
	g.alive(now)
}

// ObserveRefused says that the target took no connection. Nothing starts until
// there is a sign of life.
func (g *Gate) ObserveRefused(now time.Time) {
	g.turnCold(now)
	g.refusing = true
}

// ObserveLoad takes in the target's report of its running requests as of the
// time made, which may be a while ago. Own starts and ends after that are added
// until a newer report comes.
func (g *Gate) ObserveLoad(made time.Time, running int) {
	g.load.report(made, running)
	if !made.Before(g.awaitLoad) {
		g.awaitUntil = time.Time{}
	}
}

// ObserveLoadUnsupported says that the target does not report its load, so that nothing
// is gained by waiting for it.
func (g *Gate) ObserveLoadUnsupported() { g.awaitUntil = time.Time{} }

// alive takes in a sign of life.
func (g *Gate) alive(now time.Time) {
	g.evidence = now
	g.refusing = false
}

// grow widens the window after a success, if requests used it.
func (g *Gate) grow(now time.Time, used bool) {
	g.successes++
	if !used || g.Cold(now) {
		return
	}
	step := 1.0
	if g.window >= g.threshold {
		step = 1 / math.Floor(g.window)
	}
	g.window = math.Min(float64(g.bounds.Max), g.window+step)
}

// cut shrinks the window after a sign of overload.
func (g *Gate) cut(now time.Time) {
	if !g.lastCut.IsZero() && now.Sub(g.lastCut) < cutPause {
		return
	}
	g.lastCut = now
	g.window = math.Max(float64(g.bounds.MaxCold), g.window*cutFactor)
	g.threshold = g.window
}

// TurnCold lets the target ramp up as if it had just started.
func (g *Gate) TurnCold(now time.Time) { g.turnCold(now) }

// turnCold drops the window to the cold bound.
func (g *Gate) turnCold(now time.Time) {
	g.window = float64(g.bounds.MaxCold)
	g.threshold = float64(g.bounds.Max)
	g.coldSince = now
	g.successes = 0
	g.evidence = time.Time{}
	g.usual = firstToken{}
}

// RampTime returns the longest time from cold to full use, where demand keeps
// the window used and each request succeeds within the given time: the cold
// start, one request, and a doubling of the window in each further one.
func (b Bounds) RampTime(request time.Duration) time.Duration {
	atCold := max(b.ColdDuration, request*time.Duration(math.Ceil(ColdSuccesses/float64(b.MaxCold))))
	doublings := math.Ceil(math.Log2(float64(b.Max) / float64(b.MaxCold)))
	return atCold + time.Duration(1+doublings)*request
}
