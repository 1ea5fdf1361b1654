package exchange

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// A process stays within its bandwidth limit for every size of the fleet and of
// the reports.
func TestReportsStayWithinTheBandwidthBudget(t *testing.T) {
	is := is.New(t)
	for _, budget := range []int{budgetBytesPerSecond, budgetBytesPerSecond - usageBytesPerSecond} {
		for _, peers := range []int{1, 3, 30, 369} {
			for _, cost := range []int{60, 200, 800, 5000} {
				pause, count := planRound(cost, peers, budget)
				is.True(count >= 1 && count <= peers)
				is.True(pause >= minRoundInterval && pause <= maxRoundInterval)
				spent := float64(cost*count) / pause.Seconds()
				const rounding = 1e-6
				is.True(spent <= float64(budget)*(1+rounding) || count == 1) // at least one report a second is sent
			}
		}
	}
	pause, count := planRound(150, 4, budgetBytesPerSecond)
	is.True(count == 4 && pause < 200*time.Millisecond) // short rounds in small fleets
}

type recorder struct {
	merged []uint32
	// slow holds for each report that was created whether slowly changing fields were due.
	slow []bool
	// usage and zoneUsage count the reports on usage that were created.
	usage, zoneUsage int
}

func (s *recorder) News() <-chan struct{}                   { return nil }
func (s *recorder) NewsReport() *zinniaquayv1.GatewayReport { return &zinniaquayv1.GatewayReport{} }
func (s *recorder) Report(slow bool) *zinniaquayv1.GatewayReport {
	s.slow = append(s.slow, slow)
	return &zinniaquayv1.GatewayReport{}
}
func (s *recorder) UsageReport() *zinniaquayv1.GatewayReport {
	s.usage++
	return usageOf(0)
}
func (s *recorder) ZoneUsageReport() *zinniaquayv1.GatewayReport {
	s.zoneUsage++
	return usageOf(0)
}

// usageOf returns a report on the usage of so many accounts.
func usageOf(accounts int) *zinniaquayv1.GatewayReport {
	u := &zinniaquayv1.AccountUsages{}
	for i := range accounts {
		u.Account, u.Asked = append(u.Account, uint32(i)), append(u.Asked, 1<<20)
		u.Got, u.Gateways = append(u.Got, 1<<12), append(u.Gateways, 8)
	}
	return &zinniaquayv1.GatewayReport{Accounts: u}
}
func (s *recorder) Merge(r *zinniaquayv1.GatewayReport) { s.merged = append(s.merged, r.GetSequence()) }

func TestOutdatedReportsAreDropped(t *testing.T) {
	is := is.New(t)
	s := &recorder{}
	e := New(catalog.Member{Name: "self"}, s, nil, metrics.NewRegistry(), logr.Discard())
	report := func(name string, incarnation, sequence uint32) {
		e.accept(&zinniaquayv1.GatewayReport{Sender: HashName(name), Incarnation: incarnation, Sequence: sequence})
	}
	report("peer", 1, 2)
	report("peer", 1, 1) // late
	report("peer", 1, 2) // duplicate
	report("self", 1, 9) // own report
	report("peer", 1, 3)
	report("peer", 7, 1) // restarted
	is.Equal(s.merged, []uint32{2, 3, 1})
}

// Reports make up for the bandwidth of news, and are never more than a second apart.
func TestNewsStaysWithinTheBandwidthBudget(t *testing.T) {
	is := is.New(t)
	n := newsRounds{debtBytes: newsBurstBytes}
	var repaid time.Duration
	for range 200 {
		pause := n.delay(minRoundInterval)
		is.True(pause >= minRoundInterval && pause <= minRoundInterval*(newsPauseDivisor+1)/newsPauseDivisor)
		repaid += pause - minRoundInterval
	}
	is.True(n.debtBytes <= 10) // rounding
	is.True(repaid.Seconds() >= 0.99*newsBurstBytes/budgetBytesPerSecond)
	started := time.Now()
	n = newsRounds{last: started}
	is.Equal(n.wait(started.Add(NewsInterval/2)), NewsInterval/2)
	is.Equal(n.wait(started.Add(2*NewsInterval)), time.Duration(0))
}

// Guards against a new process that takes accounts for absent at its peers.
func TestTheFirstReportToAPeerThatHasStartedNamesAccounts(t *testing.T) {
	is := is.New(t)
	source := &recorder{}
	e := New(catalog.Member{Name: "a", Addr: "127.0.0.1:0"}, source, func() map[string]catalog.Member { return nil }, metrics.NewRegistry(), logr.Discard())
	is.NoErr(e.Listen())
	defer func() { is.NoErr(e.conn.Close()) }()
	e.sendReport(netip.MustParseAddrPort(e.conn.LocalAddr().String()))
	is.Equal(source.slow, []bool{true})
	is.Equal(source.usage, 1)
}
