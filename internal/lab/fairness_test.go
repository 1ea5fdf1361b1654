package lab

import (
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// overload is a load of several times what the engines can do after second 6: the
// accounts surge by the given factors, in order of size. Accounts 1 and 2 reach one
// gateway each, 3 and 4 all gateways.
func overload(surges ...float64) Workload {
	d := Workload{
		Name: "overload", Seconds: 20, Gateways: 31, Zones: 4, Engines: 14, TokensPerSecond: 350_000, ReportMS: 3000, HopMS: 1, Accounts: 24, Skew: 1,
		SingleGatewayAccounts: []int{1, 2, 9, 12},
		Engine: EngineFigures{
			Slots: 64, MemoryTokens: 387_923, StepMS: 3.37, StepMSPerSlot: 0.0109, ContextMSPerK: 0.0034, TokensPerMS: 61.2,
			PairsMSPerM: 0.324, ChunkTokens: 4096, FirstMS: 6, Stride: 8, Queue: 192,
		},
		Kinds: []Kind{
			{Name: "draft", PerSecond: 25, ObjectiveMS: 1000, GapMS: 600, DeadlineMS: 12_000, Worth: 6.2, LateWorth: 1.9,
				Shared: []SharedPart{{512, 3}, {4870, 72}}, Own: Size{6610, 1.4, 54_600}, Events: Size{47.8, 0.44, 140}},
			{Name: "explain", PerSecond: 70, ObjectiveMS: 500, GapMS: 600, DeadlineMS: 12_000, Worth: 1.7, LateWorth: 0.5,
				Shared: []SharedPart{{119, 16}, {79, 300}}, Own: Size{628, 1, 3310}, Events: Size{36.4, 0.69, 119}},
			{Name: "flag", PerSecond: 39, ObjectiveMS: 600, GapMS: 600, DeadlineMS: 3000, Worth: 0.65, LateWorth: 0.19,
				Shared: []SharedPart{{341, 16}, {227, 250}}, Own: Size{1800, 1.3, 6870}, Events: Size{2.82, 1.4, 11.3}},
		},
	}
	for i, times := range surges {
		d.Surges = append(d.Surges, Surge{From: 6, To: d.Seconds, Times: times, Account: i + 1})
	}
	return d
}

// Limits of the operator's rule on fairness: over fairSpan seconds in each of which an
// account has a request that is refused or waits past its objective, it gets at least
// fairFraction of what it or the best-served account received, whichever is less,
// second by second, less the fairSlackRequests largest requests.
const (
	fairSpan          = 6
	fairFraction      = 0.5
	fairSlackRequests = 3
)

// fairSeeds is the number of seeds of the overload that are played.
const fairSeeds = 6

// leastFairRatio returns the lowest ratio of what an account received to what the
// rule demands, over all accounts and spans, and which account and span that was.
func leastFairRatio(r *Result) (ratio float64, account string, from int) {
	ratio = math.Inf(1)
	for name, of := range r.Demand {
		for start := 0; start+fairSpan <= len(of); start++ {
			span := of[start : start+fairSpan]
			if slices.ContainsFunc(span, func(s DemandSecond) bool { return !s.Waited }) {
				continue
			}
			best := bestServed(r, start)
			received, demanded, largest := 0.0, 0.0, 0.0
			for i, s := range span {
				received += s.Received
				demanded += fairFraction * math.Min(s.Asked, best[i].Received)
				largest = math.Max(largest, s.Largest)
			}
			if demanded -= fairSlackRequests * largest; demanded > 0 && received/demanded < ratio {
				ratio, account, from = received/demanded, name, start
			}
		}
	}
	return ratio, account, from
}

// bestServed returns the span of the account that received most in it.
func bestServed(r *Result, start int) []DemandSecond {
	var best []DemandSecond
	most := 0.0
	for _, of := range r.Demand {
		span, sum := of[start:start+fairSpan], 0.0
		for _, s := range span {
			sum += s.Received
		}
		if sum > most {
			best, most = span, sum
		}
	}
	return best
}

// Guards against an account whose callers reach one gateway getting far less than
// those whose callers reach all gateways, while both ask for more than there is.
func TestAccountAtOneGatewayGetsItsPartUnderOverload(t *testing.T) {
	moving := overload(20, 20, 6, 60)
	moving.GatewayChange = 5
	for name, day := range map[string]Workload{
		"flood": overload(20, 20, 6, 60), "heavier flood": overload(6, 10, 40, 80), "callers move": moving,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is, worst := is.New(t), math.Inf(1)
			for seed := range uint64(fairSeeds) {
				ratio, account, from := leastFairRatio(Simulate(day, presentStrategy(t), seed+1))
				t.Logf("seed %d: the least served got %.2f of what the rule demands: %s from second %d", seed+1, ratio, account, from)
				worst = math.Min(worst, ratio)
			}
			is.True(worst >= 1) // what the rule demands
		})
	}
}
