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
	// fairShareRate is an account's fair share of the fleet's rate, in requests a
	// second.
	fairShareRate = fleetRate / accounts / meanCost
	// smallAccount is the account that offers less than its fair share.
	smallAccount = accounts - 1
)

// backloggedDemands returns accounts that offer twice their fair share, and a
// small one that offers half of it.
func backloggedDemands() []demand {
	var demands []demand
	for range accounts - 1 {
		demands = append(demands, demand{rate: 2 * fairShareRate})
	}
	return append(demands, demand{rate: fairShareRate / 2})
}

// onlyAtRouter sends all requests of an account to one router.
func onlyAtRouter(router int) []float64 {
	weights := make([]float64, routers)
	weights[router] = 1
	return weights
}

// floodDemands lets one account offer 50 times its fair share.
func floodDemands() []demand {
	demands := backloggedDemands()
	demands[0].rate = 50 * fairShareRate
	return demands
}

// skewedDemands sends each account to a single router, with one account alone at
// router 0.
func skewedDemands() []demand {
	demands := backloggedDemands()
	for i := range demands {
		demands[i].weights = onlyAtRouter(min(i, routers-1))
	}
	return demands
}

// intermittentDemands lets each account send in periods of its own length.
func intermittentDemands() []demand {
	demands := backloggedDemands()
	for i := range demands {
		period := (3 + i) * stepsPerSecond
		demands[i].active = func(step int) bool { return step/period%2 == 0 }
		demands[i].rate *= 2
	}
	demands[smallAccount].rate = fairShareRate / 2
	return demands
}

// partitionRouter makes router 1 unreachable for a minute.
func partitionRouter(f *fleet, step int) {
	f.setUnreachable(1, step >= 30*stepsPerSecond && step < 90*stepsPerSecond)
}

// restartRouters restarts a router with empty state every 20 seconds.
func restartRouters(f *fleet, step int) {
	if step%(20*stepsPerSecond) == 0 {
		f.restart(step / (20 * stepsPerSecond) % routers)
	}
}

// overlappingDemands restricts three of the accounts to half of the targets.
func overlappingDemands() []demand {
	demands := backloggedDemands()
	for i := range 3 {
		demands[i].targets = sidecars / 2
	}
	demands[smallAccount].rate = 2 * fairShareRate
	return demands
}

var scenarios = []scenario{
	{name: "flood", demands: floodDemands(), flood: true},
	{name: "flood, heavy tails and hints wrong by a factor of 20", demands: floodDemands(), flood: true, heavyTailed: true},
	{name: "accounts at few routers", demands: skewedDemands(), skewed: true},
	{name: "accounts at few routers, heavy tails and hints wrong by a factor of 20", demands: skewedDemands(), skewed: true, heavyTailed: true},
	{name: "intermittent accounts", demands: intermittentDemands()},
	{name: "intermittent accounts, heavy tails", demands: intermittentDemands(), heavyTailed: true},
	{name: "partly shared targets", demands: overlappingDemands(), overlap: true},
	{name: "partly shared targets, heavy tails", demands: overlappingDemands(), overlap: true, heavyTailed: true},
	{name: "routers restart with empty state", demands: floodDemands(), flood: true, beforeStep: restartRouters},
	{name: "router unreachable for a minute", demands: floodDemands(), flood: true, beforeStep: partitionRouter, partitioned: true},
	{name: "router unreachable for a minute, heavy tails", demands: floodDemands(), flood: true, beforeStep: partitionRouter, partitioned: true, heavyTailed: true},
}

// boundLimits returns the quantities of the fairness bound for a scenario.
func boundLimits(heavyTailed bool) fairness.Limits {
	l := fairness.Limits{
		Targets: sidecars, Running: slotsPerTarget, Cost: meanCost, Batch: 1,
		Rate: fleetRate / sidecars,
		Age:  ledger.MaxStaleness.Seconds(),
	}
	if heavyTailed {
		l.Cost = maxCost
	}
	return l
}

// maxSmallAccountWait is the bound on the wait of an account that offers less
// than its fair share: until the largest running request has ended and the
// account's total is known.
func maxSmallAccountWait(heavyTailed bool) time.Duration {
	l := boundLimits(heavyTailed)
	perRequest := float64(stepsPerSecond) // tokens a second
	return time.Duration((l.Cost/perRequest + l.Age) * float64(time.Second))
}

// TestGapAgainstBaselines runs each scenario under the fleet-wide policy and
// under each baseline policy, with the same arrivals.
func TestGapAgainstBaselines(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			var runs [policyCount]*fleet
			for p := range runs {
				runs[p] = newFleet(policy(p), sc.demands)
				runs[p].run(sc)
			}
			ours, router, arrival, alone := runs[fleetWide], runs[perRouter], runs[arrivalOrder], runs[perSidecar]
			wait := time.Duration(ours.maxWait[smallAccount]) * step
			t.Logf("gap %.0f (per router %.0f, arrival %.0f, without ledger %.0f, bound %.0f); served %d (arrival %d); small account's longest wait %v (per router %v, arrival %v)",
				ours.gaps.maxGap, router.gaps.maxGap, arrival.gaps.maxGap, alone.gaps.maxGap, boundLimits(sc.heavyTailed).Gap(), ours.totalServed, arrival.totalServed,
				wait, time.Duration(router.maxWait[smallAccount])*step, time.Duration(arrival.maxWait[smallAccount])*step)
			is.True(ours.gaps.maxGap <= boundLimits(sc.heavyTailed).Gap())
			if sc.flood {
				is.True(ours.gaps.maxGap <= arrival.gaps.maxGap/10)
			}
			if sc.skewed {
				is.True(ours.gaps.maxGap <= router.gaps.maxGap/5)
			}
			if sc.overlap {
				is.True(ours.gaps.maxGap <= alone.gaps.maxGap/5)
			}
			if !sc.partitioned && !sc.overlap {
				is.True(wait <= maxSmallAccountWait(sc.heavyTailed))
			}
			is.True(float64(ours.totalServed) >= 0.99*float64(arrival.totalServed))
		})
	}
}
