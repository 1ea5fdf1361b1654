package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// seeds of the days that ways are compared on.
const seeds = 3

// results plays the heavy day by a way, with several seeds.
func results(t *testing.T, way string) []*Result {
	t.Helper()
	strategy := strategyNamed(t, way)
	var all []*Result
	for seed := range uint64(seeds) {
		all = append(all, Simulate(HeavyWorkload(), strategy, seed+1))
	}
	return all
}

func strategyNamed(t *testing.T, name string) Strategy {
	t.Helper()
	for _, w := range Strategies() {
		if w.Name == name {
			return w
		}
	}
	t.Fatalf("no strategy %q", name)
	return Strategy{}
}

// presentStrategy returns the product's own way of deciding.
func presentStrategy(t *testing.T) Strategy {
	t.Helper()
	return strategyNamed(t, "present")
}

func mean(results []*Result, figure func(*Result) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += figure(r)
	}
	return sum / float64(len(results))
}

// On a day that asks for more than the engines can do, callers get more than by
// simpler ways: over the whole day, and where they are served worst.
func TestCallersGetMoreThanBySimplerWays(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	present := results(t, "present")
	for _, way := range []string{"fewest running", "affinity alone", "prediction alone"} {
		baseline := results(t, way)
		for _, figure := range []func(*Result) float64{
			func(r *Result) float64 { return r.All.Share() }, (*Result).WorstWindows, (*Result).WorstKind, (*Result).WorstAccounts,
		} {
			is.True(mean(present, figure) > mean(baseline, figure)+0.1)
		}
	}
}

// Parts of prompts that others share are read again less often than without
// affinity.
func TestSharedPartsAreReadAgainLessOften(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	again := func(r *Result) float64 { return float64(r.Reread) / float64(r.Read) }
	is.True(mean(results(t, "present"), again) < mean(results(t, "fewest running"), again)/2)
}

// Callers that are refused early come back in time: more is served on time than
// when requests wait for most of their objective, and those served worst gain.
func TestEarlyRefusalsLeaveTimeToComeBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	present, patient := results(t, "present"), results(t, "patient")
	is.True(mean(present, (*Result).Goal) > mean(patient, (*Result).Goal)+0.03)
	is.True(mean(present, (*Result).WorstAccounts) > mean(patient, (*Result).WorstAccounts))
	is.True(mean(present, (*Result).WorstWindows) > mean(patient, (*Result).WorstWindows))
}

// Requests that can only be late take nothing from those that can be on time.
func TestLateRequestsGiveWay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	present, beside := results(t, "present"), results(t, "late beside others")
	onTime := func(r *Result) float64 { return float64(r.All.OnTime) }
	refusals := func(r *Result) float64 { return float64(r.All.Refused) }
	is.True(mean(present, (*Result).Goal) > mean(beside, (*Result).Goal)+0.01)
	is.True(mean(present, onTime) > mean(beside, onTime))
	is.True(mean(present, refusals) < mean(beside, refusals))
}

// While one account floods, the others get what they ask within their shares.
func TestAFloodTakesNothingFromOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	flood := HeavyWorkload()
	flood.Surges = []Surge{{From: 0, To: flood.Seconds, Times: 20, Account: 1}}
	for seed := range uint64(seeds) {
		r := Simulate(flood, presentStrategy(t), seed+1)
		small := Tally{}
		for name, tally := range r.Accounts {
			if name != "account-1" {
				small.Owed += tally.Owed
				small.Got += tally.Got
			}
		}
		is.True(small.Share() > 0.75) // three quarters of their shares while the fleet is flooded
	}
}

// The same seed gives the same figures.
func TestADayIsTheSameEachTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	day := HeavyWorkload()
	day.Seconds = 5
	for _, w := range Strategies() {
		a, b := Simulate(day, w, 7), Simulate(day, w, 7)
		is.Equal(a.All, b.All)
		is.Equal(a.Read, b.Read)
	}
}

// An engine's memory is never overfull while more than one request runs, parts that
// are in use stay, and each request ends.
func TestAnEngineKeepsToItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := HeavyWorkload().Engine
		f.Slots, f.MemoryTokens, f.ChunkTokens = 8, rapid.IntRange(2000, 20_000).Draw(t, "memory"), 512
		e := newEngine("e", f, make(map[uint64]bool))
		left := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			shared, own := rapid.IntRange(1, 800).Draw(t, "shared"), rapid.IntRange(1, 800).Draw(t, "own")
			key := rapid.Uint64Range(1, 5).Draw(t, "key")
			e.add(&call{out: rapid.IntRange(1, 30).Draw(t, "out"), request: &dispatch.Request{TokensIn: shared + own, Parts: []dispatch.PromptPart{
				{Key: uint64(shared)*10 + key, Tokens: shared}, {Key: 1<<60 + uint64(i), Tokens: own}}}})
			left++
		}
		for step := 0; left > 0; step++ {
			if step > 100_000 {
				t.Fatalf("%d requests never end", left)
			}
			for _, j := range e.finish(e.step()) {
				if j.made == j.call.out {
					left--
				}
			}
			if used := e.used(); used+e.kept.free > f.MemoryTokens && len(e.running) > 1 {
				t.Fatalf("%d tokens used and %d kept of %d", used, e.kept.free, f.MemoryTokens)
			}
		}
		if e.kept.pinned != 0 {
			t.Fatalf("%d tokens are still in use", e.kept.pinned)
		}
	})
}

func TestFaultsOfADayAreNamed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "day.yaml")
	for text, want := range map[string]string{
		"unknown: 1":  "unknown",
		"seconds: x":  "cannot unmarshal",
		"seconds: 10": "gateways",
	} {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadWorkload(path)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
	}
	_, err := LoadWorkload(filepath.Join(t.TempDir(), "none.yaml"))
	is.True(err != nil)
}

func TestTableAndPlotHoldAllWays(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	day := HeavyWorkload()
	day.Seconds = 3
	var all []*Result
	for _, w := range Strategies() {
		all = append(all, Simulate(day, w, 1))
	}
	var table bytes.Buffer
	is.NoErr(WriteTable(&table, day, all))
	path := filepath.Join(t.TempDir(), "plot.svg")
	is.NoErr(WritePlot(path, all))
	drawn, err := os.ReadFile(path)
	is.NoErr(err)
	for _, w := range Strategies() {
		is.True(strings.Contains(table.String(), w.Name))
		is.True(strings.Contains(string(drawn), w.Name))
	}
}
