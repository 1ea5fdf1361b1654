package fairness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
)

const (
	accounts = 8
	// fairPart is an account's part of the fleet's rate, in requests a second.
	fairPart = fleetRate / accounts / meanCost
	// small is the account that offers less than its fair part.
	small = accounts - 1
)

// backlog returns accounts that offer twice their fair part, and a small one
// that offers half of it.
func backlog() []offer {
	var offers []offer
	for range accounts - 1 {
		offers = append(offers, offer{rate: 2 * fairPart})
	}
	return append(offers, offer{rate: fairPart / 2})
}

// at1 puts all of an account at one router.
func at1(router int) []float64 {
	weights := make([]float64, routers)
	weights[router] = 1
	return weights
}

// flood is 50 times the fair part from one account.
func flood() []offer {
	offers := backlog()
	offers[0].rate = 50 * fairPart
	return offers
}

// skewed puts one account alone at router 0 and the others at one router each.
func skewed() []offer {
	offers := backlog()
	for i := range offers {
		offers[i].weights = at1(min(i, routers-1))
	}
	return offers
}

// comingAndGoing lets each account ask in periods of its own.
func comingAndGoing() []offer {
	offers := backlog()
	for i := range offers {
		period := (3 + i) * stepsPerS
		offers[i].active = func(step int) bool { return step/period%2 == 0 }
		offers[i].rate *= 2
	}
	offers[small].rate = fairPart / 2
	return offers
}

// cutOff takes router 1 out of reach for a minute.
func cutOff(f *fleet, step int) {
	f.setCut(1, step >= 30*stepsPerS && step < 90*stepsPerS)
}

// restarts empties a router every 20 seconds.
func restarts(f *fleet, step int) {
	if step%(20*stepsPerS) == 0 {
		f.restart(step / (20 * stepsPerS) % routers)
	}
}

// overlapping lets three of the accounts use half of the targets only.
func overlapping() []offer {
	offers := backlog()
	for i := range 3 {
		offers[i].targets = sidecars / 2
	}
	offers[small].rate = 2 * fairPart
	return offers
}

var scenarios = []scenario{
	{name: "flood", offers: flood(), flood: true},
	{name: "flood, heavy tails and hints wrong by 20 times", offers: flood(), flood: true, heavy: true},
	{name: "skewed spread", offers: skewed(), skewed: true},
	{name: "skewed spread, heavy tails and hints wrong by 20 times", offers: skewed(), skewed: true, heavy: true},
	{name: "accounts come and go", offers: comingAndGoing()},
	{name: "accounts come and go, heavy tails", offers: comingAndGoing(), heavy: true},
	{name: "targets shared in part", offers: overlapping(), overlap: true},
	{name: "targets shared in part, heavy tails", offers: overlapping(), overlap: true, heavy: true},
	{name: "routers restart empty", offers: flood(), flood: true, at: restarts},
	{name: "router cut off for a minute", offers: flood(), flood: true, at: cutOff, cuts: true},
	{name: "router cut off for a minute, heavy tails", offers: flood(), flood: true, at: cutOff, cuts: true, heavy: true},
}

// limits returns the quantities of the bound for a scenario.
func limits(heavy bool) fairness.Limits {
	l := fairness.Limits{
		Targets: sidecars, Running: places, Cost: meanCost, Batch: 1,
		Rate: fleetRate / sidecars,
		Age:  ledger.MaxStaleness.Seconds(),
	}
	if heavy {
		l.Cost = maxCost
	}
	return l
}

// longestWait is the bound on the wait of an account that offers less than its
// fair part: until the largest request that runs has ended, and the account's
// total is known.
func longestWait(heavy bool) time.Duration {
	l := limits(heavy)
	perRequest := float64(stepsPerS) // tokens a second
	return time.Duration((l.Cost/perRequest + l.Age) * float64(time.Second))
}

// TestGapAgainstBaselines plays each scenario under the fleet-wide order and
// both baselines with the same arrivals.
func TestGapAgainstBaselines(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			var ran [policies]*fleet
			for p := range ran {
				ran[p] = newFleet(policy(p), sc.offers)
				ran[p].run(sc)
			}
			ours, router, arrival, alone := ran[fleetWide], ran[perRouter], ran[arrivalOrder], ran[perSidecar]
			wait := time.Duration(ours.maxWait[small]) * step
			t.Logf("gap %.0f (per router %.0f, arrival %.0f, without ledger %.0f, bound %.0f); used %d (arrival %d); small account's longest wait %v (per router %v, arrival %v)",
				ours.gaps.widest, router.gaps.widest, arrival.gaps.widest, alone.gaps.widest, limits(sc.heavy).Gap(), ours.used, arrival.used,
				wait, time.Duration(router.maxWait[small])*step, time.Duration(arrival.maxWait[small])*step)
			is.True(ours.gaps.widest <= limits(sc.heavy).Gap())
			if sc.flood {
				is.True(ours.gaps.widest <= arrival.gaps.widest/10)
			}
			if sc.skewed {
				is.True(ours.gaps.widest <= router.gaps.widest/5)
			}
			if sc.overlap {
				is.True(ours.gaps.widest <= alone.gaps.widest/5)
			}
			if !sc.cuts && !sc.overlap {
				is.True(wait <= longestWait(sc.heavy))
			}
			is.True(float64(ours.used) >= 0.99*float64(arrival.used))
		})
	}
}
