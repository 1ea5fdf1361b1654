package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/directory"
	"github.com/zinniaquay/zinniaquay/internal/duty"
	"github.com/zinniaquay/zinniaquay/internal/exchange"
	"github.com/zinniaquay/zinniaquay/internal/metering"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// DutySettings are the settings of the fleet's singleton duties on the platform.
type DutySettings struct {
	// Addr is the address of the platform's interface for duties, IP:port.
	Addr string
	// ReportUsage is set if the usage of accounts is to be reported.
	ReportUsage bool
	// LeaseTTL is the time that the hold on the duties outlives its holder.
	LeaseTTL time.Duration
	// UsageWindow is the length of the windows of usage, and UsageDelay the time after the end
	// of a window within which its report is due.
	UsageWindow, UsageDelay time.Duration
}

// enabled reports whether there is a duty to perform.
func (s DutySettings) enabled() bool { return s.ReportUsage }

// Duties is what a process needs for the fleet's singleton duties.
type Duties struct {
	Leases platform.LeaseStore
	Calls  platform.DutyCalls
	Codec  interface {
		duty.Codec
		metering.Codec
	}
}

// dutyTasks are the parts of a process that perform the fleet's singleton duties.
type dutyTasks struct {
	meter    *metering.Meter
	holder   *duty.Holder
	reporter *metering.Reporter
}

// newDutyTasks returns the tasks of a process whose directory and exchange are set.
func newDutyTasks(s Settings, d Duties, dir *directory.Directory, ex *exchange.Exchange, registry metrics.Registry, log logr.Logger) *dutyTasks {
	t := &dutyTasks{}
	t.meter = metering.NewMeter(metering.Fleet{
		Self: selfOf(s), View: dir.View, Silent: ex.Silent, Incarnation: ex.Incarnation, Hash: exchange.HashName,
	}, s.Duties.UsageWindow, s.Duties.UsageDelay)
	t.holder = duty.NewHolder(duty.Options{
		Name: s.Name, LeaseTTL: s.Duties.LeaseTTL, Leases: d.Leases, Store: dir, Codec: d.Codec,
		Observe: func() duty.Observation {
			view := dir.View()
			_, read := dir.Age()
			return duty.Observation{Hold: view.DutyHold, Era: view.Era, Turn: t.meter.Turn(), Unreachable: !read || dir.StoreDown()}
		},
	}, registry, log)
	t.reporter = metering.NewReporter(t.meter, t.holder, dir, d.Calls, d.Codec, registry, log)
	ex.SendCounts(t.countReports)
	return t
}

// countReports returns the reports on the starts of requests that are due.
func (t *dutyTasks) countReports() []exchange.CountReport {
	var reports []exchange.CountReport
	for _, d := range t.meter.Deliveries() {
		starts := &zinniaquayv1.AccountStarts{Window: d.Report.Window, Closed: d.Report.Closed, Accounts: uint32(d.Report.Accounts)}
		for _, account := range slices.Sorted(maps.Keys(d.Report.Counts)) {
			starts.Account = append(starts.Account, account)
			starts.Count = append(starts.Count, uint32(d.Report.Counts[account]))
		}
		reports = append(reports, exchange.CountReport{Member: d.Member, Report: &zinniaquayv1.GatewayReport{Starts: starts}})
	}
	return reports
}

// merge adds a peer's report on starts. Lists of unequal length are truncated to the shortest.
func (t *dutyTasks) merge(r *zinniaquayv1.GatewayReport) {
	starts := r.GetStarts()
	n := min(len(starts.GetAccount()), len(starts.GetCount()))
	report := metering.Report{
		Sender: r.GetSender(), Incarnation: r.GetIncarnation(), Window: starts.GetWindow(), Closed: starts.GetClosed(),
		Accounts: int(starts.GetAccounts()), Counts: make(map[uint32]int64, n),
	}
	for i := range n {
		report.Counts[starts.GetAccount()[i]] = int64(starts.GetCount()[i])
	}
	t.meter.Merge(report)
}

// observeClock records the time of day at a peer, if its report has it.
func (t *dutyTasks) observeClock(r *zinniaquayv1.GatewayReport) {
	if wall := r.GetWallMs(); wall > 0 {
		t.meter.ObserveClock(r.GetSender(), time.UnixMilli(int64(wall)))
	}
}

// run takes part in the duties until the context ends.
func (t *dutyTasks) run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { t.holder.Run(ctx) })
	group.Go(func() { t.reporter.Run(ctx) })
	group.Wait()
}

// stop leaves the duties to another process before this one ends.
func (t *dutyTasks) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), dutyReleaseTimeout)
	defer cancel()
	t.holder.Stop(ctx)
}

// dutyReleaseTimeout bounds the call that releases the duties; otherwise their lease expires.
const dutyReleaseTimeout = time.Second

// countStart counts a request that began to run at a target.
func (g *Gateway) countStart(x *call) {
	if g.duties == nil || x.counted || x.account == nil || x.account.Name == "" {
		return
	}
	x.counted = true
	g.duties.meter.Record(x.account.Name)
}
