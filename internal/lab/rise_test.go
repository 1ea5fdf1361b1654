package lab

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// riseAt is when accounts rise in a steep rise, in seconds.
const riseAt = 8

// steepRise is a rise of accounts that were nearly silent and reach all gateways, beside
// accounts whose callers reach one or two gateways and move to others at that moment.
// Reports on loads come 2 to 3 s apart, those on usage as often as they may, and some are lost.
func steepRise(times float64) Workload {
	d := overload()
	d.Name, d.SingleGatewayAccounts = "steep rise", nil
	d.ReportMS, d.ReportSpreadMS, d.Faults.ReportLoss = 2000, 1000, 0.1
	// Account 1 asks for much all the time; its callers move. Account 2 does so at two gateways.
	d.Surges = []Surge{
		{From: 0, To: d.Seconds, Times: 10, Account: 1}, {From: 0, To: d.Seconds, Times: 20, Account: 2},
	}
	for _, account := range []int{3, 4} {
		d.Surges = append(d.Surges, Surge{From: 0, To: riseAt, Times: 0.1, Account: account}, Surge{From: riseAt, To: d.Seconds, Times: times, Account: account})
	}
	d.Routes = []AccountRoute{
		{Account: 1, Gateways: []int{0}, MovedAt: riseAt, MovedTo: []int{10, 11}},
		{Account: 2, Gateways: []int{1, 2}, MovedAt: riseAt, MovedTo: []int{12}},
	}
	return d
}

// smallHosts gives the gateways from 10 on hosts that read perSecond requests a second.
func smallHosts(d Workload, perSecond float64) Workload {
	for g := 10; g < d.Gateways; g++ {
		d.HostLimits = append(d.HostLimits, HostLimit{Gateway: g, PerSecond: perSecond})
	}
	return d
}

func crashAtRise(d Workload) Workload {
	d.Faults.EngineCrashes = []EngineCrash{{At: riseAt, Count: d.Engines / 4}}
	return d
}

// Guards against leaving an account behind whose callers move while others rise everywhere.
func TestSteepRiseLeavesNoAccountBehindWhoseCallersMove(t *testing.T) {
	for name, day := range map[string]Workload{
		"hosts with room": steepRise(50), "small hosts": smallHosts(steepRise(20), 150),
		"small hosts, targets crash": crashAtRise(smallHosts(steepRise(20), 150)),
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

// Guards against a steep rise that breaks the rule even where reports are fresh.
func TestSteepRiseWithFreshReportsLeavesNoAccountBehind(t *testing.T) {
	t.Parallel()
	is, day := is.New(t), steepRise(50)
	day.ReportMS, day.UsageMS, day.ReportSpreadMS, day.Faults.ReportLoss, day.Zones = 200, 200, 0, 0, 1
	for seed := range uint64(2) {
		ratio, account, from := leastFairRatio(Simulate(day, presentStrategy(t), seed+1))
		t.Logf("seed %d: the least served got %.2f of what the rule demands: %s from second %d", seed+1, ratio, account, from)
		is.True(ratio >= 1) // what the rule demands
	}
}

// Guards against hosts and routes of the lab that name what isn't there.
func TestHostsAndRoutesAreChecked(t *testing.T) {
	for want, change := range map[string]func(*Workload){
		"field host_limits: there is no gateway 31, or per_second 1 is not above 0": func(d *Workload) { d.HostLimits = []HostLimit{{31, 1}} },
		"field host_limits: there is no gateway 0, or per_second 0 is not above 0":  func(d *Workload) { d.HostLimits = []HostLimit{{0, 0}} },
		"field routes: there is no account 25, or it has no gateways":               func(d *Workload) { d.Routes = []AccountRoute{{Account: 25, Gateways: []int{0}}} },
		"field routes: there is no account 1, or it has no gateways":                func(d *Workload) { d.Routes = []AccountRoute{{Account: 1}} },
		"field routes: account 1: there is no gateway -1":                           func(d *Workload) { d.Routes = []AccountRoute{{Account: 1, Gateways: []int{0}, MovedTo: []int{-1}}} },
		"field report_spread_ms: -1 is below 0":                                     func(d *Workload) { d.ReportSpreadMS = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			is, day := is.New(t), steepRise(4)
			is.NoErr(day.check())
			change(&day)
			err := day.check()
			is.True(err != nil)
			is.Equal(err.Error(), want)
		})
	}
}

// Guards against hosts of the lab that read more than they can, or shed while they have room.
func TestLimitedHostShedsOnlyWhatIsTooMuch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(Simulate(smallHosts(steepRise(20), 150), presentStrategy(t), 1).Reasons[shedReason] > 0)
	is.Equal(Simulate(smallHosts(steepRise(20), 100_000), presentStrategy(t), 1).Reasons[shedReason], 0)
}
