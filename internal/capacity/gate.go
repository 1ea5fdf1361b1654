// Package capacity decides how many requests may run at one target.
//
// A Gate maintains a window: the limit of concurrent requests at the target.
// While the target is cold the window is the configured cold limit, for the
// configured duration of a cold start and until some requests have succeeded.
// Then it grows by one for each success and, once it has been decreased, by one
// for each window of successes. Signs of overload halve it. When the target
// turns cold without warning, the window falls back to the cold limit before
// the next request starts. The package does no I/O, starts no goroutine and
// reads no clock.
package capacity

import (
	"math"
	"time"
)

const (
	// ColdSuccesses is the number of requests that must succeed at the cold limit
	// before the window grows.
	ColdSuccesses = 4
	// MaxLivenessAge is how long a liveness signal of the target is valid. Without
	// a newer one the target gets no more requests than its cold limit.
	MaxLivenessAge = 500 * time.Millisecond
	// decreaseFactor is the factor by which a sign of overload shrinks the window.
	decreaseFactor = 0.5
	// minDecreaseInterval is the minimum time between two decreases: one overload
	// affects all requests that run during it.
	minDecreaseInterval = time.Second
	// overloadRatio is the ratio of a time to first token to the mean above which
	// it is a sign of overload.
	overloadRatio = 4
	// coldRatio is the ratio above which it shows that the target has turned cold.
	coldRatio = 12
	// maxNormalFirstToken is the time to first token below which a sample is never
	// a sign of overload or of a cold target.
	maxNormalFirstToken = 200 * time.Millisecond
)

// Outcome is how a request ended at the target.
type Outcome int

// Outcomes of a request.
const (
	// Succeeded means that the target sent a complete response.
	Succeeded Outcome = iota
	// Failed means that the target reported a failure or timed out.
	Failed
	// Refused means that the target accepted no connection.
	Refused
	// Canceled means that the caller has gone. It is no evidence on the target's
	// state.
	Canceled
	// NeverStarted means that the request was not sent to the target.
	NeverStarted
)

// Bounds are the configured limits of a target.
type Bounds struct {
	// MaxCold is the limit of concurrent requests while the target is cold, at
	// least 1.
	MaxCold int
	// Max is the limit of concurrent requests once it is warm, at least MaxCold.
	Max int
	// ColdDuration is how long a cold start takes.
	ColdDuration time.Duration
}

// Gate maintains the window of one target. It is not safe for concurrent use.
type Gate struct {
	bounds Bounds
	// window is the limit of concurrent requests while there is a recent liveness
	// signal.
	window float64
	// threshold is the window from which it grows by one per window of successes.
	threshold float64
	// coldSince is when the target last turned cold.
	coldSince time.Time
	// successes is the number of successes since coldSince.
	successes      int
	running        int
	instance       string
	refusing       bool      // the target accepted no connection, and no liveness signal since
	lastAlive      time.Time // time of the newest liveness signal
	awaitLoadSince time.Time // no request starts before a load report of this time or later
	awaitLoadUntil time.Time // or until this time, whichever comes first
	lastDecrease   time.Time
	firstToken     firstTokenStats
	load           load
}

// New returns the gate of a target that is assumed to have turned cold now.
func New(now time.Time, b Bounds) *Gate {
	g := &Gate{}
	g.turnCold(now)
	g.SetBounds(b)
	return g
}

// SetBounds replaces the bounds after a change of the configuration.
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

// AwaitLoad prevents starts until the target has reported its load as of now or
// later, or until the timeout expires. A sidecar calls it at startup, because
// requests that an earlier incarnation started may still be running.
func (g *Gate) AwaitLoad(now time.Time, timeout time.Duration) {
	g.awaitLoadSince, g.awaitLoadUntil = now, now.Add(timeout)
}

// Room returns how many more requests may start.
func (g *Gate) Room(now time.Time) int {
	return max(0, g.allowed(now)-max(g.running, g.load.estimate()))
}

// OverLimit reports whether more requests are running than are allowed. The caller
// checks it just before it sends a request that Start has already counted.
func (g *Gate) OverLimit(now time.Time) bool { return g.running > g.allowed(now) }

// AboveColdLimit reports whether more requests are running than the cold limit
// allows.
func (g *Gate) AboveColdLimit() bool { return g.running > g.bounds.MaxCold }

// allowed returns the present limit of concurrent requests.
func (g *Gate) allowed(now time.Time) int {
	if g.refusing || now.Before(g.awaitLoadUntil) {
		return 0
	}
	if now.Sub(g.lastAlive) > MaxLivenessAge {
		return min(int(g.window), g.bounds.MaxCold)
	}
	return int(g.window)
}

// Running returns the number of running requests.
func (g *Gate) Running() int { return g.running }

// Window returns the limit of concurrent requests while there is a recent liveness
// signal.
func (g *Gate) Window() int { return int(g.window) }

// Cold reports whether the window is still held at the cold limit.
func (g *Gate) Cold(now time.Time) bool {
	return g.successes < ColdSuccesses || now.Sub(g.coldSince) < g.bounds.ColdDuration
}

// Start records the start of a request. The caller must have checked Room.
func (g *Gate) Start(now time.Time) {
	g.running++
	g.load.record(now, +1)
}

// Finish records the end of a request that was started.
func (g *Gate) Finish(now time.Time, o Outcome) {
	windowUsed := 2*g.running >= int(g.window)
	g.running = max(0, g.running-1)
	g.load.record(now, -1)
	switch o {
	case Succeeded:
		g.markAlive(now)
		g.grow(now, windowUsed)
	case Failed:
		g.decrease(now)
	case Refused:
		g.ObserveRefused(now)
	case Canceled, NeverStarted:
	}
}

// ObserveProgress records that a part of a response has arrived.
func (g *Gate) ObserveProgress(now time.Time) { g.markAlive(now) }

// ObserveFirstToken records the time from the start of a request to the first
// token of its response.
func (g *Gate) ObserveFirstToken(now time.Time, elapsed time.Duration) {
	g.markAlive(now)
	switch ratio := g.firstToken.ratio(elapsed); {
	case ratio > coldRatio:
		g.turnCold(now)
	case ratio > overloadRatio:
		g.decrease(now)
	}
	g.firstToken.add(elapsed)
}

// ObserveInstance records the instance ID that the target just reported, empty
// if it reports none. A new instance is cold, whatever the state of the
// previous one was.
func (g *Gate) ObserveInstance(now time.Time, instance string) {
	if g.instance != "" && instance != "" && instance != g.instance {
		g.turnCold(now)
	}
	if instance != "" {
		g.instance = instance
	}
	g.markAlive(now)
}

// ObserveRefused records that the target accepted no connection. No request starts
// until the next liveness signal.
func (g *Gate) ObserveRefused(now time.Time) {
	g.turnCold(now)
	g.refusing = true
}

// ObserveLoad records the target's report of its running requests as of
// reportedAt, which may lie in the past. The gate's own starts and ends after
// reportedAt are added until a newer report arrives.
func (g *Gate) ObserveLoad(reportedAt time.Time, running int) {
	g.load.setReport(reportedAt, running)
	if !reportedAt.Before(g.awaitLoadSince) {
		g.awaitLoadUntil = time.Time{}
	}
}

// ObserveLoadUnsupported ends the wait of AwaitLoad, because the target does
// not report its load.
func (g *Gate) ObserveLoadUnsupported() { g.awaitLoadUntil = time.Time{} }

// markAlive records a liveness signal.
func (g *Gate) markAlive(now time.Time) {
	g.lastAlive = now
	g.refusing = false
}

// grow counts a success and increases the window if enough of it was in use.
func (g *Gate) grow(now time.Time, windowUsed bool) {
	g.successes++
	if !windowUsed || g.Cold(now) {
		return
	}
	step := 1.0
	if g.window >= g.threshold {
		step = 1 / math.Floor(g.window)
	}
	g.window = math.Min(float64(g.bounds.Max), g.window+step)
}

// decrease shrinks the window after a sign of overload.
func (g *Gate) decrease(now time.Time) {
	if !g.lastDecrease.IsZero() && now.Sub(g.lastDecrease) < minDecreaseInterval {
		return
	}
	g.lastDecrease = now
	g.window = math.Max(float64(g.bounds.MaxCold), g.window*decreaseFactor)
	g.threshold = g.window
}

// TurnCold makes the target ramp up as if it had just started.
func (g *Gate) TurnCold(now time.Time) { g.turnCold(now) }

// turnCold resets the window to the cold limit.
func (g *Gate) turnCold(now time.Time) {
	g.window = float64(g.bounds.MaxCold)
	g.threshold = float64(g.bounds.Max)
	g.coldSince = now
	g.successes = 0
	g.lastAlive = time.Time{}
	g.firstToken = firstTokenStats{}
}

// RampTime returns the maximum time from cold to the full window, if demand
// keeps the window in use and each request succeeds within the given time: the
// cold start, one request, and one more for each doubling of the window.
func (b Bounds) RampTime(request time.Duration) time.Duration {
	coldPhase := max(b.ColdDuration, request*time.Duration(math.Ceil(ColdSuccesses/float64(b.MaxCold))))
	doublings := math.Ceil(math.Log2(float64(b.Max) / float64(b.MaxCold)))
	return coldPhase + time.Duration(1+doublings)*request
}
