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

// warmGate returns a gate at its full window, and the time.
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

func TestColdTargetGetsItsBoundForTheWholeColdStart(t *testing.T) {
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

func TestRampReachesFullUseInTheStatedTime(t *testing.T) {
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

func TestSignsThatTheTargetTurnedCold(t *testing.T) {
	for _, tt := range []struct {
		name string
		sign func(g *Gate, now time.Time)
		room int
	}{
		{"new instance", func(g *Gate, now time.Time) { g.ObserveInstance(now, "two") }, 2},
		{"no instance named", func(g *Gate, now time.Time) { g.ObserveInstance(now, "") }, 16},
		{"refused connection", func(g *Gate, now time.Time) { g.ObserveRefused(now) }, 0},
		{"refused, then up again", func(g *Gate, now time.Time) {
			g.ObserveRefused(now)
			g.ObserveInstance(now, "one")
		}, 2},
		{"refused request", func(g *Gate, now time.Time) { g.Start(now); g.Finish(now, Refused) }, 0},
		{"jump in time to first token", func(g *Gate, now time.Time) {
			for range firstTokenSamples {
				g.ObserveFirstToken(now, 50*time.Millisecond)
			}
			g.ObserveFirstToken(now, 700*time.Millisecond)
		}, 2},
		{"smaller jump: overload", func(g *Gate, now time.Time) {
			for range firstTokenSamples {
				g.ObserveFirstToken(now, 50*time.Millisecond)
			}
			g.ObserveFirstToken(now, 300*time.Millisecond)
		}, 8},
		{"failure: overload", func(g *Gate, now time.Time) { g.Start(now); g.Finish(now, Failed) }, 8},
		{"many failures of one overload", func(g *Gate, now time.Time) {
			for range 5 {
				g.Start(now)
				g.Finish(now, Failed)
			}
		}, 8},
		{"caller gone", func(g *Gate, now time.Time) { g.Start(now); g.Finish(now, Canceled) }, 16},
		{"no sign of life for long", func(g *Gate, now time.Time) { g.evidence = now.Add(-EvidenceAge - 1) }, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g, now := warmGate()
			is.Equal(g.Room(now), 16)
			tt.sign(g, now)
			is.Equal(g.Room(now), tt.room)
		})
	}
}

func TestTurnedColdWhileRequestsRun(t *testing.T) {
	is := is.New(t)
	g, now := warmGate()
	for range 5 {
		g.Start(now)
	}
	is.True(!g.OverLimit(now))
	g.ObserveInstance(now, "two")
	is.True(g.OverLimit(now)) // the last claim must not start
	is.Equal(g.Room(now), 0)
}

func TestRestartedSidecarWaitsForTheTargetsLoad(t *testing.T) {
	is := is.New(t)
	g := New(start, bounds)
	g.AwaitLoad(start, time.Minute)
	is.Equal(g.Room(start), 0)
	g.ObserveLoad(start.Add(-time.Second), 0) // lags: made before the restart
	is.Equal(g.Room(start), 0)
	now := start.Add(time.Second)
	g.ObserveLoad(now, 2) // the earlier incarnation's requests run still
	is.Equal(g.Room(now), 0)
	g.ObserveLoad(now.Add(1), 1)
	is.Equal(g.Room(now), 1)
	g.AwaitLoad(now.Add(2), time.Minute)
	g.ObserveLoadUnsupported()
	is.Equal(g.Room(now), 1)
}

func TestStartsSinceALoadReportCount(t *testing.T) {
	is := is.New(t)
	g, now := warmGate()
	g.Start(now)
	g.ObserveLoad(now.Add(time.Second), 9) // 8 of another's
	g.Start(now.Add(2 * time.Second))
	g.ObserveInstance(now.Add(2*time.Second), "one")
	is.Equal(g.Room(now.Add(2*time.Second)), 6)
	g.ObserveLoad(now.Add(time.Second/2), 0) // older than the last report
	is.Equal(g.Room(now.Add(2*time.Second)), 6)
}

// TestNeverMoreThanTheBoundAtTheTarget plays any events against a target that
// counts what runs and turns cold at any moment, restarts of the sidecar
// included: a request starts only after the target told its instance.
func TestNeverMoreThanTheBoundAtTheTarget(t *testing.T) {
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
				instance, coldSince = instance+1, now // silently cold; what runs goes on
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
					atTarget-- // one of an earlier incarnation
				}
			default:
				g.ObserveInstance(now, name())
				for g.Room(now) > 0 {
					g.Start(now)
					own++
					atTarget++
					if now.Sub(coldSince) < b.ColdDuration && atTarget > b.MaxCold {
						t.Fatalf("%d run at a cold target that bears %d", atTarget, b.MaxCold)
					}
				}
			}
			if g.Running() != own {
				t.Fatalf("gate counts %d running, %d run", g.Running(), own)
			}
		}
	})
}
