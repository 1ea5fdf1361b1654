package exchange

import (
	"net/netip"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

const (
	// countsInterval is the minimum time between two rounds of reports on the starts of
	// requests, and countsBytesPerSecond their part of the bandwidth limit.
	countsInterval       = 500 * time.Millisecond
	countsBytesPerSecond = 1200
)

// CountReport is a report on the starts of requests for a member.
type CountReport struct {
	Member catalog.Member
	Report *zinniaquayv1.GatewayReport
}

// SendCounts has reports on the starts of requests sent, as due returns them. It is called
// before Send.
func (e *Exchange) SendCounts(due func() []CountReport) { e.countsDue = due }

// sendCounts sends the reports on the starts of requests that are due, and returns the time
// until the next round.
func (e *Exchange) sendCounts() time.Duration {
	if e.countsDue == nil {
		return maxRoundInterval
	}
	bytes := 0
	for _, r := range e.countsDue() {
		addr, err := netip.ParseAddrPort(r.Member.Addr)
		if err != nil {
			e.log.V(1).Info("member has an invalid address", "member", r.Member.Name, "cause", err.Error())
			continue
		}
		data, cost, err := e.encode(r.Report)
		if err != nil {
			e.log.Error(err, "encode report on starts failed")
			continue
		}
		e.sendTo(addr, data)
		bytes += cost
	}
	e.bytesSent.Inc(int64(bytes))
	pause := max(countsInterval, time.Duration(bytes)*time.Second/countsBytesPerSecond)
	e.countsRate = int(time.Duration(bytes) * time.Second / pause)
	return pause
}

// Incarnation returns that of a member as its latest report names it; 0 if there was none.
func (e *Exchange) Incarnation(name string) uint32 {
	if name == e.self.Name {
		return e.incarnation
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest[HashName(name)].incarnation
}
