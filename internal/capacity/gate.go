// Package capacity decides how many requests a target may run.
package capacity

import "time"

// Outcome tells how a request ended at the target.
type Outcome int

// Outcomes of a request.
const (
	// Succeeded means that the target answered in full.
	Succeeded Outcome = iota
	// Failed means that the target failed or broke off.
	Failed
	// Refused means that the target took no connection.
	Refused
	// NeverStarted means that the request was not offered to the target.
	NeverStarted
)

// Gate holds the window of requests that a target may run. It is not safe for
// concurrent use.
type Gate struct {
	cold, max int
	window    int
	running   int
}

// New returns a gate for a cold target. cold and max are numbers of requests.
func New(cold, max int) *Gate {
	cold = min(cold, max)
	return &Gate{cold: cold, max: max, window: cold}
}

// Room returns how many more requests may start.
func (g *Gate) Room(_ time.Time) int { return g.window - g.running }

// Running returns how many requests run.
func (g *Gate) Running() int { return g.running }

// Window returns how many requests may run.
func (g *Gate) Window() int { return g.window }

// Start notes that a request starts.
func (g *Gate) Start(_ time.Time) { g.running++ }

// Finish notes that a request ended.
func (g *Gate) Finish(_ time.Time, o Outcome) {
	g.running--
	switch o {
	case Succeeded:
		g.window = min(g.window+1, g.max)
	case Failed, Refused:
		g.window = g.cold
	case NeverStarted:
	}
}
