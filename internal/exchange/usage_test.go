package exchange

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// busySource reports the usage of many accounts.
type busySource struct {
	recorder
	accounts int
}

func (s *busySource) UsageReport() *zinniaquayv1.GatewayReport { return usageOf(s.accounts) }
func (s *busySource) ZoneUsageReport() *zinniaquayv1.GatewayReport {
	r := usageOf(s.accounts)
	r.ZoneTotal = true
	return r
}

// Guards against reports on usage that take the bandwidth of those on loads, or more than there is.
func TestReportsOnUsageStayWithinTheirBandwidth(t *testing.T) {
	for _, perZone := range []int{1, 8, 46} {
		for _, accounts := range []int{0, 12, 100} {
			t.Run(fmt.Sprintf("%d processes a zone, %d accounts", perZone, accounts), func(t *testing.T) {
				is, members := is.New(t), make(map[string]catalog.Member)
				for i := range 4 * perZone {
					name := fmt.Sprintf("edge-%03d", i)
					members[name] = catalog.Member{Name: name, Zone: fmt.Sprint(i % 4), Addr: "127.0.0.1:9"}
				}
				e := New(members["edge-000"], &busySource{accounts: accounts}, func() map[string]catalog.Member { return members }, metrics.NewRegistry(), logr.Discard())
				conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
				is.NoErr(err)
				defer func() { is.NoErr(conn.Close()) }()
				e.conn = conn
				var elapsed time.Duration
				for range 50 {
					pause := e.sendUsageRound()
					is.True(pause >= minUsageInterval)
					is.True(e.usage.bytesPerSecond <= usageBytesPerSecond)
					elapsed += pause
				}
				const rounding = 1e-3
				is.True(float64(e.bytesSent.Count())/elapsed.Seconds() <= usageBytesPerSecond*(1+rounding))
			})
		}
	}
}

// Guards against gateways of a zone that don't hear of one another's usage, and zones that don't hear of other zones'.
func TestUsageReachesTheOwnZoneAndEachOtherZoneInTurn(t *testing.T) {
	is, members := is.New(t), make(map[string]catalog.Member)
	conns := make(map[string]*net.UDPConn)
	for i := range 6 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		defer func() { is.NoErr(conn.Close()) }()
		name := fmt.Sprintf("edge-%d", i)
		conns[name], members[name] = conn, catalog.Member{Name: name, Zone: []string{"a", "b"}[i%2], Addr: conn.LocalAddr().String()}
	}
	e := New(members["edge-0"], &busySource{accounts: 3}, func() map[string]catalog.Member { return members }, metrics.NewRegistry(), logr.Discard())
	e.conn = conns["edge-0"]
	const rounds = 3
	for range rounds {
		e.sendUsageRound()
	}
	for name, m := range members {
		if name == "edge-0" {
			continue
		}
		buffer, totals, received := make([]byte, maxDatagramBytes), 0, 0
		is.NoErr(conns[name].SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
		for {
			n, from, err := conns[name].ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			is.Equal(from, netip.MustParseAddrPort(members["edge-0"].Addr))
			var r zinniaquayv1.GatewayReport
			is.NoErr(proto.Unmarshal(buffer[:n], &r))
			received++
			if r.GetZoneTotal() {
				totals++
			}
		}
		if m.Zone == "a" {
			is.Equal([]int{received, totals}, []int{rounds, 0})
		} else {
			is.Equal([]int{received, totals}, []int{1, 1}) // three processes of the zone, each in turn
		}
	}
}
