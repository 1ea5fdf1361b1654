package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// AccountReport is the usage of an account at one router.
type AccountReport struct {
	// Account is the hash of the account's name.
	Account uint32
	// Requested and Received are in tokens. They decay exponentially, with half
	// the share window as the time constant.
	Requested, Received float64
	// Routers is the number of routers whose usage is included.
	Routers int
}

// Report is what a router sends to its peers.
type Report struct {
	// HasAccounts is set if the report includes accounts, and Age is their mean age.
	HasAccounts bool
	Age         time.Duration
	// Loads holds the router's own load on each target, by the target's short ID. It is
	// nil in a report on crashes or usage alone.
	Loads    map[uint32]Load
	Accounts []AccountReport
	// Limits holds the request rates that targets name, by the target's short ID.
	Limits map[uint32]float64
	// Crashes is the evidence on prompt parts that crash targets.
	Crashes []quarantine.Evidence
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// AccountHash returns the hash that identifies an account in reports.
func AccountHash(name string) uint32 { return uint32(hashName(name)) }

// Report returns this router's report on loads to its peers. slow is set if the slowly
// changing fields are due too.
func (d *Dispatcher) Report(slow bool, now time.Time) Report {
	r := Report{Loads: make(map[uint32]Load)}
	for _, t := range d.targets {
		if t.ownLoad.Running > 0 {
			r.Loads[t.shortID] = t.ownLoad
		}
	}
	if slow {
		r.Limits, r.Crashes = d.limitReport(now), d.quarantine.Report(now)
	}
	return r
}

// UsageReport returns the report on the usage of accounts at this router for the routers of
// its availability zone.
func (d *Dispatcher) UsageReport(now time.Time) Report {
	return Report{HasAccounts: true, Accounts: d.usage.own(now)}
}

// ZoneUsageReport returns the report on the usage of accounts at the routers of this one's
// availability zone for the routers of others. It reports false while fewer than half of
// these routers have reported here.
func (d *Dispatcher) ZoneUsageReport(now time.Time) (Report, bool) {
	peers := 0
	for name, m := range d.view.Members {
		if name != d.config.Self && m.Zone == d.config.Zone {
			peers++
		}
	}
	accounts, reported, age := d.usage.inZone(now)
	return Report{HasAccounts: true, Accounts: accounts, Age: age}, 2*reported >= peers
}

// MergeZoneUsage replaces the usage in another availability zone.
func (d *Dispatcher) MergeZoneUsage(zone uint32, r Report, now time.Time) {
	d.usage.merge(usageSource{zone: zone}, r.Accounts, now.Add(-r.Age))
}

// CrashReport returns a report on crashes alone, with what peers must know at once.
func (d *Dispatcher) CrashReport(now time.Time) Report {
	return Report{Crashes: d.quarantine.NewsReport(now)}
}

// Merge replaces the latest loads and usage of a peer by those of a report, and adds
// its evidence on crashes.
func (d *Dispatcher) Merge(name string, r Report, now time.Time) {
	d.quarantine.Merge(r.Crashes, now)
	if r.HasAccounts {
		d.usage.merge(usageSource{router: name}, r.Accounts, now.Add(-r.Age))
	}
	if r.Loads == nil {
		return
	}
	d.mergeLoads(name, r.Loads, now)
	d.mergeLimits(r.Limits, now)
}

// ExpirePeers removes the loads of peers that have sent no report for too long, and the usage
// of those that have not reported it for longer than usageTimeout.
func (d *Dispatcher) ExpirePeers(now time.Time) {
	d.usage.expirePeers(now)
	d.expireLoads(now)
}
