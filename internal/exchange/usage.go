package exchange

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Usage goes through availability zones: each process sends its own to the peers of its zone,
// and the sum of its zone to one process of each other zone in turn. So it reaches all
// processes in two steps with far fewer datagrams than if each sent its own to all of them.
const (
	// usageBytesPerSecond is the part of the bandwidth limit for reports on usage.
	usageBytesPerSecond = 1700
	// minUsageInterval is the minimum time between two rounds of reports on usage.
	minUsageInterval = 250 * time.Millisecond
)

// UsageInterval returns the time until the next round of reports on usage after one of a size
// in bytes.
func UsageInterval(bytes int) time.Duration {
	return max(minUsageInterval, time.Duration(bytes)*time.Second/usageBytesPerSecond)
}

// usageRounds plans the rounds of reports on usage of one process.
type usageRounds struct {
	// rounds is the number of rounds, and nextPeer the index in the sorted peers of the own
	// zone at which the next round begins.
	rounds, nextPeer int
	// bytesPerSecond is the bandwidth of the latest round.
	bytesPerSecond int
}

// zonePeer is a peer in an availability zone.
type zonePeer struct {
	addr netip.AddrPort
	name string
}

// peersByZone returns the addresses of the other members by zone, sorted by name, and this
// process's index among the members of its zone.
func (e *Exchange) peersByZone() (zones map[string][]zonePeer, self int) {
	zones = make(map[string][]zonePeer)
	for name, m := range e.members() {
		if name == e.self.Name || e.SinceLastReport(name) > silentAfter {
			continue
		}
		addr, err := netip.ParseAddrPort(m.Addr)
		if err != nil {
			e.log.V(1).Info("member has an invalid address", "member", name, "cause", err.Error())
			continue
		}
		zones[m.Zone] = append(zones[m.Zone], zonePeer{addr, name})
		if m.Zone == e.self.Zone && name < e.self.Name {
			self++
		}
	}
	for _, peers := range zones {
		slices.SortFunc(peers, func(a, b zonePeer) int { return cmp.Compare(a.name, b.name) })
	}
	return zones, self
}

// sendUsageRound sends reports on usage to as many peers as the bandwidth limit allows and
// returns the time until the next round.
func (e *Exchange) sendUsageRound() time.Duration {
	zones, self := e.peersByZone()
	bytes := 0
	if own := zones[e.self.Zone]; len(own) > 0 {
		bytes += e.sendUsage(e.source.UsageReport(), func(cost int) []netip.AddrPort {
			count := min(len(own), max(1, usageBytesPerSecond/cost))
			addrs := make([]netip.AddrPort, count)
			for i := range addrs {
				addrs[i] = own[(e.usage.nextPeer+i)%len(own)].addr
			}
			e.usage.nextPeer = (e.usage.nextPeer + count) % len(own)
			return addrs
		})
	}
	delete(zones, e.self.Zone)
	if len(zones) > 0 {
		bytes += e.sendUsage(e.source.ZoneUsageReport(), func(int) []netip.AddrPort {
			var addrs []netip.AddrPort
			for _, peers := range zones {
				addrs = append(addrs, peers[(self+e.usage.rounds)%len(peers)].addr)
			}
			return addrs
		})
	}
	e.usage.rounds++
	pause := UsageInterval(bytes)
	e.usage.bytesPerSecond = int(time.Duration(bytes) * time.Second / pause)
	return pause
}

// sendUsage sends a report to the peers that are chosen by its cost in bytes, and returns the
// bytes sent.
func (e *Exchange) sendUsage(r *zinniaquayv1.GatewayReport, choose func(cost int) []netip.AddrPort) int {
	if r == nil {
		return 0
	}
	data, cost, err := e.encode(r)
	if err != nil {
		e.log.Error(err, "encode report on usage failed")
		return 0
	}
	addrs := choose(cost)
	for _, addr := range addrs {
		e.sendTo(addr, data)
	}
	e.bytesSent.Inc(int64(cost * len(addrs)))
	return cost * len(addrs)
}

// usageReportFor returns the report on usage for the member at an address, or nil if there is
// none.
func (e *Exchange) usageReportFor(addr netip.AddrPort) *zinniaquayv1.GatewayReport {
	for _, m := range e.members() {
		if m.Addr == addr.String() && m.Zone != e.self.Zone {
			return e.source.ZoneUsageReport()
		}
	}
	return e.source.UsageReport()
}
