package fairness

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func equalWeights(string) float64 { return 1 }

func TestNextReturnsTheLeastServedAccount(t *testing.T) {
	is := is.New(t)
	c := New(func(account string) float64 { return map[string]float64{"heavy": 4}[account] })
	c.AddWaiting("heavy")
	c.AddWaiting("light")
	c.Start("heavy", 0).Add(200) // virtual service 50 at weight 4, no estimate left
	c.Start("light", 0).Add(150)
	next, ok := c.Next()
	is.True(ok)
	is.Equal(next, "heavy")
	is.Equal(c.Pick([]string{"light", "heavy"}), "heavy")
	c.RemoveWaiting("heavy")
	c.RemoveWaiting("light")
	_, ok = c.Next()
	is.True(!ok)
}

func TestRunningRequestCountsBeforeItIsCharged(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.AddWaiting("a")
	c.AddWaiting("b")
	first, _ := c.Next()
	c.Start(first, 10)
	second, _ := c.Next()
	is.True(first != second) // one account may not take all slots at once
}

func TestEqualAccountsAlternate(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	names := []string{"a", "b", "c", "d"}
	for _, n := range names {
		c.AddWaiting(n)
	}
	seen := make(map[string]int)
	for range 4 * len(names) {
		n, _ := c.Next()
		seen[n]++
		charge := c.Start(n, 0)
		charge.Add(1)
		charge.Settle()
	}
	for _, n := range names {
		is.Equal(seen[n], 4)
	}
}

func TestSettleRemovesTheUnchargedEstimate(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	charge := c.Start("a", 100)
	is.Equal(c.entry("a").orderKey(), 100.0)
	charge.Add(30)
	is.Equal(c.entry("a").orderKey(), 100.0) // 30 charged, 70 expected
	charge.Settle()
	charge.Settle()
	is.Equal(c.entry("a").orderKey(), 30.0)
	charge.Add(5)
	is.Equal(c.State("a").Own, 30.0) // nothing is charged after the end
}

func TestEstimateLimitsTheEffectOfHints(t *testing.T) {
	for _, tt := range []struct {
		name       string
		mean, hint float64
		want       float64
	}{
		{"no mean and no hint", 0, 0, defaultCost},
		{"first hint", 0, 40, 40},
		{"huge first hint", 0, 1e9, defaultCost * maxHintFactor},
		{"no hint", 200, 0, 200},
		{"plausible hint", 200, 300, 300},
		{"20 times too high", 200, 4000, 800},
		{"20 times too low", 200, 10, 50},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := New(equalWeights)
			c.costs.value = tt.mean
			is.Equal(c.estimate(c.entry("a"), tt.hint), tt.want)
		})
	}
}

func TestReturningAccountTrailsByNoMoreThanTheCredit(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.SetCredit(1000)
	c.Merge("busy", FleetTotal{Others: 1e9})
	c.Merge("idle", FleetTotal{Others: 5})
	c.AddWaiting("busy")
	c.AddWaiting("idle")
	is.Equal(c.State("idle").Virtual, 1e9-1000)
	is.Equal(c.State("busy").Virtual, 1e9) // the most served account is not lifted
}

func TestLiftedAccountIsNotStarvedByAnUnliftedOne(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.SetCredit(1000)
	c.Merge("alone", FleetTotal{Others: 1e9})
	c.Merge("other", FleetTotal{Others: 100})
	c.Merge("newcomer", FleetTotal{Others: 0})
	c.AddWaiting("alone")
	c.AddWaiting("newcomer") // lifted close to the account that ran alone
	c.RemoveWaiting("alone")
	c.AddWaiting("other") // must not receive 1e9 of service before the newcomer
	is.True(c.State("newcomer").Virtual-c.State("other").Virtual <= 1000)
}

func TestUnknownAccountStartsAtTheLeastServedAndSharesNoLift(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.Merge("known", FleetTotal{Others: 5000})
	c.AddWaiting("known")
	c.AddWaiting("unknown")
	is.Equal(c.State("unknown").Virtual, 5000.0)
	is.Equal(c.State("unknown").Lift, 0.0)
	c.Merge("known", FleetTotal{Others: 1e9})
	is.Equal(c.State("unknown").Lift, 0.0) // the lift is local: the fleet-wide total may be high already
	c.Merge("unknown", FleetTotal{Others: 9000})
	is.Equal(c.State("unknown").Others, 9000.0)
	is.Equal(c.State("unknown").Virtual, 1e9-DefaultCredit) // the ledger's total replaces the provisional lift
}

func TestMergeNeverLowersTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 20).Draw(t, "totals")
		c := New(equalWeights)
		highest := 0.0
		for _, total := range totals {
			c.Merge("a", FleetTotal{Others: total})
			highest = math.Max(highest, total)
			if got := c.State("a").Others; got != highest {
				t.Fatalf("others = %v after %v, want %v", got, total, highest)
			}
		}
	})
}

// request is a running request of the property test.
type request struct {
	account   int
	remaining float64
	charge    *Charge
}

// testTarget is one target at which all accounts always have requests waiting.
type testTarget struct {
	counters *Counters
	running  []request
}

// startRequests starts requests until all slots are taken.
func (s *testTarget) startRequests(t *rapid.T, names []string, slots int, cost float64) {
	for len(s.running) < slots {
		next, _ := s.counters.Next()
		i := 0
		for names[i] != next {
			i++
		}
		actual := rapid.Float64Range(1, cost).Draw(t, "cost")
		hint := uint64(actual * rapid.SampledFrom([]float64{0, 0.05, 1, 20}).Draw(t, "hint error"))
		s.running = append(s.running, request{i, actual, s.counters.Start(next, hint)})
	}
}

// serve delivers up to batch of service to each running request.
func (s *testTarget) serve(received []float64, batch float64) {
	unfinished := s.running[:0]
	for _, r := range s.running {
		amount := math.Min(batch, r.remaining)
		r.remaining -= amount
		r.charge.Add(amount)
		received[r.account] += amount
		if r.remaining <= 0 {
			r.charge.Settle()
			continue
		}
		unfinished = append(unfinished, r)
	}
	s.running = unfinished
}

// TestGapStaysWithinTheBound lets all accounts wait at all targets, with random
// costs, hints and staleness of totals. At every step it compares the largest
// difference in virtual service with Limits.Gap.
func TestGapStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 4).Draw(t, "targets")
		slots := rapid.IntRange(1, 6).Draw(t, "places")
		accounts := rapid.IntRange(2, 5).Draw(t, "accounts")
		mergeInterval := rapid.IntRange(1, 5).Draw(t, "steps between merges")
		const cost, batch = 400.0, 20.0
		limits := Limits{
			Targets: targets, Running: slots, Cost: cost, Batch: batch,
			Rate: float64(slots) * batch, Age: float64(mergeInterval),
		}
		names := make([]string, accounts)
		weights := make(map[string]float64)
		for i := range names {
			names[i] = fmt.Sprintf("account-%d", i)
			weights[names[i]] = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		targetSet := newTestTargets(names, targets, weights, limits.Gap())
		received := make([]float64, accounts)
		for step := range 120 {
			for _, s := range targetSet {
				s.startRequests(t, names, slots, cost)
				s.serve(received, batch)
			}
			if step%mergeInterval == 0 {
				mergeAll(targetSet, names)
			}
			if gap := maxDifference(received, names, weights); gap > limits.Gap() {
				t.Fatalf("gap %v exceeds the bound %v at step %d", gap, limits.Gap(), step)
			}
		}
	})
}

// newTestTargets returns targets at which every account waits.
func newTestTargets(names []string, targets int, weights map[string]float64, credit float64) []*testTarget {
	var targetSet []*testTarget
	for range targets {
		c := New(func(a string) float64 { return weights[a] })
		c.SetCredit(credit)
		for _, n := range names {
			c.Merge(n, FleetTotal{Others: 0})
			c.AddWaiting(n)
		}
		targetSet = append(targetSet, &testTarget{counters: c})
	}
	return targetSet
}

// mergeAll merges the service of all other targets into each target's counters.
func mergeAll(targets []*testTarget, names []string) {
	for _, n := range names {
		total, lift := 0.0, 0.0
		for _, s := range targets {
			total += s.counters.State(n).Own
			lift = math.Max(lift, s.counters.State(n).Lift)
		}
		for _, s := range targets {
			own := s.counters.State(n).Own
			s.counters.Merge(n, FleetTotal{Others: total - own, Own: own, Lift: lift, Reporters: len(targets)})
		}
	}
}

// maxDifference returns the largest difference in virtual service received.
func maxDifference(received []float64, names []string, weights map[string]float64) float64 {
	low, high := math.Inf(1), math.Inf(-1)
	for i, n := range names {
		v := received[i] / weights[n]
		low, high = math.Min(low, v), math.Max(high, v)
	}
	return high - low
}

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
