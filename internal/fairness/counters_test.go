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

func TestNextPrefersLeastService(t *testing.T) {
	is := is.New(t)
	c := New(func(account string) float64 { return map[string]float64{"heavy": 4}[account] })
	c.AddWaiting("heavy")
	c.AddWaiting("light")
	c.Start("heavy", 0).Add(200) // 50 of virtual service at weight 4, estimate used up
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

func TestRunningWorkCountsBeforeItIsCharged(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.AddWaiting("a")
	c.AddWaiting("b")
	first, _ := c.Next()
	c.Start(first, 10)
	second, _ := c.Next()
	is.True(first != second) // one account may not fill all places at once
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

func TestSettleCorrectsTheEstimate(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	charge := c.Start("a", 100)
	is.Equal(c.entry("a").key(), 100.0)
	charge.Add(30)
	is.Equal(c.entry("a").key(), 100.0) // 30 charged, 70 expected
	charge.Settle()
	charge.Settle()
	is.Equal(c.entry("a").key(), 30.0)
	charge.Add(5)
	is.Equal(c.State("a").Own, 30.0) // nothing is charged after the end
}

func TestEstimateTrustsHintsOnlySoFar(t *testing.T) {
	for _, tt := range []struct {
		name       string
		mean, hint float64
		want       float64
	}{
		{"nothing known", 0, 0, unknownCost},
		{"first hint", 0, 40, 40},
		{"huge first hint", 0, 1e9, unknownCost * hintTrust},
		{"no hint", 200, 0, 200},
		{"good hint", 200, 300, 300},
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

func TestIdleAccountSavesUpNoMoreThanTheCredit(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.SetCredit(1000)
	c.Merge("busy", FleetTotal{Others: 1e9})
	c.Merge("idle", FleetTotal{Others: 5})
	c.AddWaiting("busy")
	c.AddWaiting("idle")
	is.Equal(c.State("idle").Virtual, 1e9-1000)
	is.Equal(c.State("busy").Virtual, 1e9) // nobody is lifted above the leader
}

func TestNewcomerIsNotStarvedByAnAccountThatRanAlone(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.SetCredit(1000)
	c.Merge("alone", FleetTotal{Others: 1e9})
	c.Merge("other", FleetTotal{Others: 100})
	c.Merge("newcomer", FleetTotal{Others: 0})
	c.AddWaiting("alone")
	c.AddWaiting("newcomer") // lifted beside the account that ran alone
	c.RemoveWaiting("alone")
	c.AddWaiting("other") // must not pass the newcomer by 1e9
	is.True(c.State("newcomer").Virtual-c.State("other").Virtual <= 1000)
}

func TestUnknownAccountStandsLevelAndSharesNoLift(t *testing.T) {
	is := is.New(t)
	c := New(equalWeights)
	c.Merge("known", FleetTotal{Others: 5000})
	c.AddWaiting("known")
	c.AddWaiting("unknown")
	is.Equal(c.State("unknown").Virtual, 5000.0)
	is.Equal(c.State("unknown").Lift, 0.0)
	c.Merge("known", FleetTotal{Others: 1e9})
	is.Equal(c.State("unknown").Lift, 0.0) // lifted here alone: its total may be high already
	c.Merge("unknown", FleetTotal{Others: 9000})
	is.Equal(c.State("unknown").Others, 9000.0)
	is.Equal(c.State("unknown").Virtual, 1e9-DefaultCredit) // the ledger's word replaces the guess
}

func TestMergeIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 20).Draw(t, "totals")
		c := New(equalWeights)
		top := 0.0
		for _, total := range totals {
			c.Merge("a", FleetTotal{Others: total})
			top = math.Max(top, total)
			if got := c.State("a").Others; got != top {
				t.Fatalf("others = %v after %v, want %v", got, total, top)
			}
		}
	})
}

// request is a running request of the property tests.
type request struct {
	account int
	left    float64
	charge  *Charge
}

// station is one target with full queues of all accounts.
type station struct {
	counters *Counters
	running  []request
}

// fill starts requests until all places are taken.
func (s *station) fill(t *rapid.T, names []string, places int, cost float64) {
	for len(s.running) < places {
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

// serve gives each running request up to batch of service.
func (s *station) serve(received []float64, batch float64) {
	kept := s.running[:0]
	for _, r := range s.running {
		step := math.Min(batch, r.left)
		r.left -= step
		r.charge.Add(step)
		received[r.account] += step
		if r.left <= 0 {
			r.charge.Settle()
			continue
		}
		kept = append(kept, r)
	}
	s.running = kept
}

// TestGapStaysWithinTheFormula lets all accounts wait at all targets, with any
// costs, hints and lateness of totals, and compares the largest difference in
// virtual service with Limits.Gap at every step.
func TestGapStaysWithinTheFormula(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 4).Draw(t, "targets")
		places := rapid.IntRange(1, 6).Draw(t, "places")
		accounts := rapid.IntRange(2, 5).Draw(t, "accounts")
		lateness := rapid.IntRange(1, 5).Draw(t, "steps between merges")
		const cost, batch = 400.0, 20.0
		limits := Limits{
			Targets: targets, Running: places, Cost: cost, Batch: batch,
			Rate: float64(places) * batch, Age: float64(lateness),
		}
		names := make([]string, accounts)
		weights := make(map[string]float64)
		for i := range names {
			names[i] = fmt.Sprintf("account-%d", i)
			weights[names[i]] = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		}
		stations := newStations(names, targets, weights, limits.Gap())
		received := make([]float64, accounts)
		for step := range 120 {
			for _, s := range stations {
				s.fill(t, names, places, cost)
				s.serve(received, batch)
			}
			if step%lateness == 0 {
				mergeAll(stations, names)
			}
			if gap := widest(received, names, weights); gap > limits.Gap() {
				t.Fatalf("gap %v over the bound %v at step %d", gap, limits.Gap(), step)
			}
		}
	})
}

// newStations returns targets at which every account waits.
func newStations(names []string, targets int, weights map[string]float64, credit float64) []*station {
	var stations []*station
	for range targets {
		c := New(func(a string) float64 { return weights[a] })
		c.SetCredit(credit)
		for _, n := range names {
			c.Merge(n, FleetTotal{Others: 0})
			c.AddWaiting(n)
		}
		stations = append(stations, &station{counters: c})
	}
	return stations
}

// mergeAll tells each station what the others gave.
func mergeAll(stations []*station, names []string) {
	for _, n := range names {
		total, lift := 0.0, 0.0
		for _, s := range stations {
			total += s.counters.State(n).Own
			lift = math.Max(lift, s.counters.State(n).Lift)
		}
		for _, s := range stations {
			own := s.counters.State(n).Own
			s.counters.Merge(n, FleetTotal{Others: total - own, Own: own, Lift: lift, Reporters: len(stations)})
		}
	}
}

// widest returns the largest difference in virtual service.
func widest(received []float64, names []string, weights map[string]float64) float64 {
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
