// Package capacity decides how many requests may run at one target.
//
// A Gate keeps a window of running requests. It starts at the target's cold
// bound, stays there for the first successes, then grows by one for each
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
	// ColdSuccesses is the number of successes in a row after which a target
	// that answers at its cold bound gets more.
	ColdSuccesses = 4
	// EvidenceAge is how long a sign of life of the target's instance counts.
	// Without a newer one the target gets no more than its cold bound.
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

// Outcome is how a request ended.
type Outcome int

// Outcomes of requests.
const (
	// Success means that the target answered in full.
	Success Outcome = iota
	// Failure means that the target answered with a failure of its own, timed
	// out, or refused for overload.
	Failure
	// Broken means that the target refused the connection or broke it off, as a
	// process does that dies or starts.
	Broken
	// Canceled means that the caller went away; it says nothing of the target.
	Canceled
)

// Gate is the window of one target. It is not safe for concurrent use.
type Gate struct {
	cold, max int
	// window is the most requests that may run, warm evidence given.
	window float64
	// threshold is the window above which growth is slow.
	threshold float64
	// successes is the number of successes since the target was found cold.
	successes  int
	running    int
	instance   string
	evidence   time.Time // of the newest sign of life
	awaitUntil time.Time // no start before, unless a load report comes
	lastCut    time.Time
	usual      firstToken
	load       load
}

// New returns the gate of a cold target. cold and limit are the most requests
// that run while the target is cold and ever; both are at least 1.
func New(cold, limit int) *Gate {
	g := &Gate{}
	g.SetBounds(cold, limit)
	g.turnCold()
	return g
}

// SetBounds changes the bounds, when the configuration does.
func (g *Gate) SetBounds(cold, limit int) {
	g.cold = max(1, cold)
	g.max = max(g.cold, limit)
	g.window = min(g.window, float64(g.max))
	if g.Cold() {
		g.window = float64(g.cold)
	}
}

// AwaitLoad lets nothing start before the target has reported its load, or
// until the given time. A sidecar that restarts calls it first: what its earlier
// incarnation started may run still.
func (g *Gate) AwaitLoad(until time.Time) { g.awaitUntil = until }

// Room returns how many requests may start now.
func (g *Gate) Room(now time.Time) int {
	if now.Before(g.awaitUntil) {
		return 0
	}
	window := int(g.window)
	if now.Sub(g.evidence) > EvidenceAge {
		window = min(window, g.cold)
	}
	return max(0, window-max(g.running, g.load.estimate()))
}

// Window returns the most requests that may run.
func (g *Gate) Window() int { return int(g.window) }

// Running returns the number of requests that run.
func (g *Gate) Running() int { return g.running }

// Cold reports whether the target has yet to show that it bears more than its
// cold bound.
func (g *Gate) Cold() bool { return g.successes < ColdSuccesses }

// Start counts a request that starts. The caller has asked Room before.
func (g *Gate) Start(now time.Time) {
	g.running++
	g.load.note(now, +1)
}

// Finish counts the end of a request that started.
func (g *Gate) Finish(now time.Time, outcome Outcome) {
	used := 2*g.running >= int(g.window)
	g.running = max(0, g.running-1)
	g.load.note(now, -1)
	switch outcome {
	case Success:
		g.evidence = now
		g.grow(used)
	case Failure:
		g.cut(now)
	case Broken:
		g.turnCold()
	case Canceled:
	}
}

// ObserveProgress takes in a sign of life: a part of an answer that started
// before. It says that the instance still runs, not that it is fast.
func (g *Gate) ObserveProgress(now time.Time) { g.evidence = now }

// ObserveFirstToken takes in the time from the start of a request to the first
// token of its answer.
func (g *Gate) ObserveFirstToken(now time.Time, took time.Duration) {
	g.evidence = now
	switch jump := g.usual.jump(took); {
	case jump > coldJump:
		g.turnCold()
	case jump > overloadJump:
		g.cut(now)
	}
	g.usual.add(took)
}

// ObserveInstance takes in the identity of the target's process, as the target
// just gave it. A new one is cold whatever was known of the old one.
func (g *Gate) ObserveInstance(now time.Time, instance string) {
	if instance == "" {
		return
	}
	if g.instance != "" && instance != g.instance {
		g.turnCold()
	}
	g.instance = instance
	g.evidence = now
}

// ObserveBroken says that the target refused a connection outside a request,
// such as that of a check of its health.
func (g *Gate) ObserveBroken() { g.turnCold() }

// ObserveLoad takes in the target's report of its running requests, as of the
// time at which it was made. Own starts and ends after that are added until a
// newer report comes.
func (g *Gate) ObserveLoad(made time.Time, running int) {
	g.load.report(made, running)
	g.awaitUntil = time.Time{}
}

// grow widens the window after a success, if requests used it.
func (g *Gate) grow(used bool) {
	if g.Cold() {
		g.successes++
		return
	}
	if !used {
		return
	}
	step := 1.0
	if g.window >= g.threshold {
		step = 1 / math.Floor(g.window)
	}
	g.window = math.Min(float64(g.max), g.window+step)
}

// cut shrinks the window after a sign of overload.
func (g *Gate) cut(now time.Time) {
	if !g.lastCut.IsZero() && now.Sub(g.lastCut) < cutPause {
		return
	}
	g.lastCut = now
	g.window = math.Max(float64(g.cold), g.window*cutFactor)
	g.threshold = g.window
}

// turnCold drops the window to the cold bound.
func (g *Gate) turnCold() {
	g.window = float64(g.cold)
	g.threshold = float64(g.max)
	g.successes = 0
	g.evidence = time.Time{}
	g.usual = firstToken{}
}

// RampTime returns the longest time from cold to full use, where demand keeps
// the window used and each request succeeds within the given time: the
// successes at the cold bound, then a doubling of the window in each such time.
func RampTime(cold, limit int, request time.Duration) time.Duration {
	atCold := math.Ceil(float64(ColdSuccesses) / float64(cold))
	doublings := math.Ceil(math.Log2(float64(limit) / float64(cold)))
	return time.Duration(atCold+doublings+1) * request
}
