package lab

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// shortageAt is when half of the engines are lost in a shortage, and steadyAt when
	// gateways have had time to notice, in seconds.
	shortageAt, steadyAt = 8, 14
	// shortageSeeds is the number of seeds of a shortage that are played.
	shortageSeeds = 2
)

// shortage is a load that all engines can bear, of which half are lost for good. Each gateway
// reports to one other at a time, so that a pair exchanges loads 30 reports apart.
func shortage(reportMS float64) Workload {
	d := overload()
	d.Name, d.SingleGatewayAccounts, d.Seconds, d.Engines, d.TokensPerSecond = "shortage", nil, 26, 48, 1_200_000
	d.ReportMS, d.ReportPeers = reportMS, 1
	for i := range d.Kinds {
		d.Kinds[i].PerSecond *= 3
	}
	d.Faults.EngineCrashes = []EngineCrash{{At: shortageAt, Count: d.Engines / 2}}
	d.Faults.RestartMS = 1e6
	return d
}

// onTimeFrom returns the number of answers in time to callers from a second on.
func onTimeFrom(r *Result, second int) int {
	n := 0
	for i, t := range r.Windows {
		if i >= second/int(windowLength/time.Second) {
			n += t.OnTime
		}
	}
	return n
}

// playShortage plays a shortage by one way with all seeds.
func playShortage(way string, reportMS float64) func() []*Result {
	return sync.OnceValue(func() (results []*Result) {
		strategies := Strategies()
		strategy := strategies[slices.IndexFunc(strategies, func(s Strategy) bool { return s.Name == way })]
		for seed := range uint64(shortageSeeds) {
			results = append(results, Simulate(shortage(reportMS), strategy, seed+1))
		}
		return results
	})
}

// Plays of a shortage that several tests look at: with reports of a pair 20 s apart, and by one
// gateway that knows all loads.
var (
	shortageWithFewReports = playShortage("present", 700)
	informedShortage       = playShortage("present alone", 700)
)

// servedParts returns, for each seed, the answers in time beside those of one gateway that knows
// all loads.
func servedParts(t *testing.T, results []*Result) (parts []float64) {
	for i, r := range results {
		informed := informedShortage()[i]
		got, possible := onTimeFrom(r, steadyAt), onTimeFrom(informed, steadyAt)
		t.Logf("seed %d: %d answers in time and %d late, %d and %d where all loads are known", i+1, got, r.All.Late, possible, informed.All.Late)
		parts = append(parts, float64(got)/float64(possible))
	}
	return parts
}

// Guards against engines whose work is late in a lasting shortage, since gateways rarely hear of
// each other's loads.
func TestLastingShortageIsServedInTimeWhereLoadsAreOld(t *testing.T) {
	for name, play := range map[string]func() []*Result{"6 s": playShortage("present", 200), "20 s": shortageWithFewReports} {
		t.Run("a pair reports every "+name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for _, part := range servedParts(t, play()) {
				is.True(part >= 0.9) // the goal of issue 36
			}
		})
	}
}

// Guards against gateways that serve less in a shortage the fewer reports they get: what they
// aren't told is as on average.
func TestLastingShortageIsServedWithFewReportsAsWithMany(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	few, many := servedParts(t, shortageWithFewReports()), servedParts(t, playShortage("present", 10)())
	for i := range few {
		is.True(few[i] >= 0.5*many[i])
	}
}
