package capacity

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

var bounds = Bounds{MaxCold: 2, Max: 16, ColdDuration: 10 * time.Second}

// warmGate returns a gate at its full window, and the current time.
func warmGate() (*Gate, time.Time) {
	g := New(start, bounds)
	now := start.Add(bounds.ColdDuration)
	g.ObserveInstance(now, "one")
	for g.Window() < bounds.Max {
		for g.Room(now) > 0 {
			g.Start(now)
		}
		g.Finish(now, Succeeded)
	}
	for g.Running() > 0 {
		g.Finish(now, Succeeded)
	}
	return g, now
}

func TestColdLimitHoldsForTheWholeColdStart(t *testing.T) {
	is := is.New(t)
	g := New(start, bounds)
	for at := start; at.Before(start.Add(bounds.ColdDuration)); at = at.Add(100 * time.Millisecond) {
		for g.Room(at) > 0 {
			g.Start(at)
		}
		is.Equal(g.Running(), bounds.MaxCold)
		g.Finish(at, Succeeded)
	}
}

func TestRampReachesFullWindowWithinRampTime(t *testing.T) {
	is := is.New(t)
	for _, b := range []Bounds{bounds, {MaxCold: 1, Max: 16, ColdDuration: time.Second}, {MaxCold: 1, Max: 100}, {MaxCold: 4, Max: 4}} {
		const request = time.Second
		g := New(start, b)
		now := start
		for step := 0; g.Window() < b.Max; step++ {
			is.True(now.Sub(start) <= b.RampTime(request))
			for g.Room(now) > 0 {
				g.Start(now)
			}
			running := g.Running()
			now = now.Add(request)
			for range running {
				g.Finish(now, Succeeded)
				for g.Room(now) > 0 {
					g.Start(now)
				}
			}
		}
	}
}

func TestRoomAfterColdAndOverloadSignals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		signal func(g *Gate, now time.Time)
		room   int
	}{
		{"new instance", func(g *Gate, now time.Time) { g.ObserveInstance(now, "two") }, 2},
		{"no instance reported", func(g *Gate, now time.Time) { g.ObserveInstance(now, "") }, 16},
		{"refused connection", func(g *Gate, now time.Time) { g.ObserveRefused(now) }, 0},
		{"refused connection, then reachable again", func(g *Gate, now time.Time) {
			g.ObserveRefused(now)
			g.ObserveInstance(now, "one")
		}, 2},
		{"refused request", func(g *Gate, now time.Time) { g.Start(now); g.Finish(now, Refused) }, 0},
		{"very long time to first token: cold", func(g *Gate, now time.Time) {
			for range firstTokenSamples {
				g.ObserveFirstToken(now, 50*time.Millisecond)
			}
			g.ObserveFirstToken(now, 700*time.Millisecond)
		}, 2},
		{"long time to first token: overload", func(g *Gate, now time.Time) {
			for range firstTokenSamples {
				g.ObserveFirstToken(now, 50*time.Millisecond)
			}
			g.ObserveFirstToken(now, 300*time.Millisecond)
		}, 8},
		{"failure: overload", func(g *Gate, now time.Time) { g.Start(now); g.Finish(now, Failed) }, 8},
		{"many failures in one overload", func(g *Gate, now time.Time) {
			for range 5 {
				g.Start(now)
				g.Finish(now, Failed)
			}
		}, 8},
		{"caller gone", func(g *Gate, now time.Time) { g.Start(now); g.Finish(now, Canceled) }, 16},
		{"no recent liveness signal", func(g *Gate, now time.Time) { g.lastAlive = now.Add(-MaxLivenessAge - 1) }, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g, now := warmGate()
			is.Equal(g.Room(now), 16)
			tt.signal(g, now)
			is.Equal(g.Room(now), tt.room)
		})
	}
}

func TestTurningColdBlocksStartsWhileRequestsRun(t *testing.T) {
	is := is.New(t)
	g, now := warmGate()
	for range 5 {
		g.Start(now)
	}
	is.True(!g.OverLimit(now))
	g.ObserveInstance(now, "two")
	is.True(g.OverLimit(now)) // a request that is already counted must not be sent
	is.Equal(g.Room(now), 0)
}

func TestRestartedSidecarWaitsForALoadReport(t *testing.T) {
	is := is.New(t)
	g := New(start, bounds)
	g.AwaitLoad(start, time.Minute)
	is.Equal(g.Room(start), 0)
	g.ObserveLoad(start.Add(-time.Second), 0) // reported before the restart
	is.Equal(g.Room(start), 0)
	now := start.Add(time.Second)
	g.ObserveLoad(now, 2) // requests of the earlier incarnation are still running
	is.Equal(g.Room(now), 0)
	g.ObserveLoad(now.Add(1), 1)
	is.Equal(g.Room(now), 1)
	g.AwaitLoad(now.Add(2), time.Minute)
	g.ObserveLoadUnsupported()
	is.Equal(g.Room(now), 1)
}

func TestStartsAfterALoadReportReduceRoom(t *testing.T) {
	is := is.New(t)
	g, now := warmGate()
	g.Start(now)
	g.ObserveLoad(now.Add(time.Second), 9) // 8 of them not started by this gate
	g.Start(now.Add(2 * time.Second))
	g.ObserveInstance(now.Add(2*time.Second), "one")
	is.Equal(g.Room(now.Add(2*time.Second)), 6)
	g.ObserveLoad(now.Add(time.Second/2), 0) // older than the latest report
	is.Equal(g.Room(now.Add(2*time.Second)), 6)
}

// Checks that a cold target never runs more requests than its cold limit, for any
// sequence of starts, ends, load reports, sidecar restarts and moments at which the
// target turns cold without warning. Requests start only right after the target has
// reported its instance.
func TestColdLimitIsNeverExceededAtTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{MaxCold: rapid.IntRange(1, 3).Draw(t, "cold"), Max: 12, ColdDuration: 5 * time.Second}
		now := start
		g := New(now, b)
		instance, coldSince := 1, now
		atTarget, own := 0, 0
		name := func() string { return string(rune('a' + instance%26)) }
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				instance, coldSince = instance+1, now // turns cold without warning; running requests continue
			case 1:
				g, own = New(now, b), 0
				g.AwaitLoad(now, time.Hour)
			case 2:
				g.ObserveLoad(now, atTarget)
			case 3, 4, 5:
				if own > 0 {
					own--
					atTarget--
					g.Finish(now, Succeeded)
				} else if atTarget > 0 {
					atTarget-- // a request of an earlier incarnation
				}
			default:
				g.ObserveInstance(now, name())
				for g.Room(now) > 0 {
					g.Start(now)
					own++
					atTarget++
					if now.Sub(coldSince) < b.ColdDuration && atTarget > b.MaxCold {
						t.Fatalf("%d requests run at a cold target, limit %d", atTarget, b.MaxCold)
					}
				}
			}
			if g.Running() != own {
				t.Fatalf("gate counts %d running requests, want %d", g.Running(), own)
			}
		}
	})
}
