package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// Guards against usage that is counted twice, or not at all, on its way through zones.
func TestUsageOfAllZonesAddsUpAtEachRouter(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	routers := map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c"}
	members, dispatchers := make(map[string]catalog.Member), make(map[string]*Dispatcher)
	for name, zone := range routers {
		members[name] = catalog.Member{Name: name, Zone: zone}
	}
	for name, zone := range routers {
		d := New(Config{Self: name, Zone: zone, ShareWindow: testWindow})
		d.SetView(&catalog.View{Members: members})
		d.RecordUnread("x", 1000, now)
		d.usage.addReceived("x", 500, now)
		d.usage.computeShares(1, now)
		dispatchers[name] = d
	}
	zoneHash := map[string]uint32{"a": 1, "b": 2, "c": 3}
	_, complete := dispatchers["a-1"].ZoneUsageReport(now)
	is.True(!complete) // it has not heard of a-2 yet
	for range 2 {
		for from, d := range dispatchers {
			for to, other := range dispatchers {
				if to != from && routers[to] == routers[from] {
					other.Merge(from, d.UsageReport(now), now)
				}
			}
		}
		for from, d := range dispatchers {
			total, complete := d.ZoneUsageReport(now)
			is.True(complete)
			for to, other := range dispatchers {
				if routers[to] != routers[from] {
					other.MergeZoneUsage(zoneHash[routers[from]], total, now)
				}
			}
		}
	}
	for _, d := range dispatchers {
		requested, received := d.usage.account("x").totals(now, d.usage.timeConstant)
		is.Equal([]float64{requested, received}, []float64{5000, 2500})
		statuses := d.Underserved(1, now)
		is.Equal(len(statuses), 0) // half of what it requested is not less than half
	}
}

// Guards against an older total of a zone that replaces a newer one, which another router sent.
func TestOlderTotalOfAZoneIsIgnored(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	d := New(Config{Self: "a-1", Zone: "a", ShareWindow: testWindow})
	total := func(tokens float64, age time.Duration) Report {
		return Report{HasAccounts: true, Accounts: []AccountReport{{AccountHash("x"), tokens, tokens, 4}}, Age: age}
	}
	d.MergeZoneUsage(7, total(1000, 100*time.Millisecond), now)
	d.MergeZoneUsage(7, total(9000, 600*time.Millisecond), now.Add(200*time.Millisecond))
	requested, _ := d.usage.account("x").totals(now, d.usage.timeConstant)
	is.Equal(requested, 1000.0)
	d.MergeZoneUsage(7, total(2000, 50*time.Millisecond), now.Add(200*time.Millisecond))
	requested, _ = d.usage.account("x").totals(now, d.usage.timeConstant)
	is.Equal(requested, 2000.0)
	d.ExpirePeers(now.Add(time.Second + usageTimeout))
	requested, _ = d.usage.account("x").totals(now, d.usage.timeConstant)
	is.Equal(requested, 0.0)
}

// Guards against a large fleet in which nobody sees what an account receives, since the part at
// each router is too small to be reported.
func TestUsageSpreadThinlyOverManyRoutersIsSeen(t *testing.T) {
	const zones, perZone, part = 5, 20, 40
	is, now := is.New(t), time.Unix(1000, 0)
	members := make(map[string]catalog.Member)
	for i := range zones * perZone {
		name := fmt.Sprintf("edge-%d", i)
		members[name] = catalog.Member{Name: name, Zone: fmt.Sprintf("zone-%d", i%zones)}
	}
	fleet := make(map[string]*Dispatcher)
	for name, m := range members {
		d := New(Config{Self: name, Zone: m.Zone, ShareWindow: testWindow})
		d.SetView(&catalog.View{Members: members})
		d.usage.addRequested(d.usage.account("other"), 10*part, now)
		d.usage.addRequested(d.usage.account("spread"), part, now)
		d.usage.addReceived("spread", part, now)
		fleet[name] = d
	}
	// What all receive is twice the account's share of the capacity.
	capacity := zones * perZone * part / testWindow.Seconds() * 2
	for range 2 {
		for _, d := range fleet {
			d.usage.computeShares(capacity, now)
		}
		for from, d := range fleet {
			for to, other := range fleet {
				if to != from && members[to].Zone == members[from].Zone {
					other.Merge(from, d.UsageReport(now), now)
				}
			}
		}
		for from, d := range fleet {
			total, complete := d.ZoneUsageReport(now)
			is.True(complete)
			for to, other := range fleet {
				if members[to].Zone != members[from].Zone {
					other.MergeZoneUsage(AccountHash(members[from].Zone), total, now)
				}
			}
		}
	}
	for _, d := range fleet {
		_, received := d.usage.account("spread").totals(now, d.usage.timeConstant)
		is.True(received >= (1-unreportedShareFraction)*zones*perZone*part)
	}
}
