package lab

import (
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/exchange"
)

const (
	// usageHeadBytes and usageAccountBytes are the sizes of a report on usage and of each
	// account in it, on the network.
	usageHeadBytes, usageAccountBytes = 50, 11
	// firstUsageMS is the time in which gateways send their first reports on usage, in turn.
	firstUsageMS = 250
)

// zoneOf returns the availability zone of a gateway.
func (w *world) zoneOf(gateway int) int { return gateway % max(1, w.day.Zones) }

// usageReports passes a gateway's usage to those of its zone, and that of its zone to one
// gateway of each other zone in turn, as the exchange does, until callers stop coming.
func (w *world) usageReports(from, round int) {
	g, bytes := w.gateways[from], 0
	own := g.policy.UsageReport(w.time())
	zones := make([][]int, max(1, w.day.Zones))
	for i := range w.gateways {
		zones[w.zoneOf(i)] = append(zones[w.zoneOf(i)], i)
	}
	for _, i := range zones[w.zoneOf(from)] {
		if i != from {
			bytes += w.sendUsage(own, func() { w.gateways[i].policy.Merge(g.name, own, w.time()) })
		}
	}
	if total, complete := g.policy.ZoneUsageReport(w.time()); complete {
		for zone, gateways := range zones {
			if zone != w.zoneOf(from) && len(gateways) > 0 {
				to := w.gateways[gateways[(from/len(zones)+round)%len(gateways)]]
				bytes += w.sendUsage(total, func() { to.policy.MergeZoneUsage(uint32(w.zoneOf(from)), total, w.time()) })
			}
		}
	}
	pause := ms(w.day.UsageMS)
	if pause == 0 {
		pause = exchange.UsageInterval(bytes)
	}
	if w.now < ms(w.day.Seconds*1000) {
		w.after(pause, func() { w.usageReports(from, round+1) })
	}
}

// sendUsage sends a report on usage, which may be lost, and returns its size in bytes.
func (w *world) sendUsage(r dispatch.Report, merge func()) int {
	if loss := w.day.Faults.ReportLoss; loss == 0 || w.usageRNG.Float64() >= loss {
		w.after(w.hop(), merge)
	}
	return usageHeadBytes + usageAccountBytes*len(r.Accounts)
}
