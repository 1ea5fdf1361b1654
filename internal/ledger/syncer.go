package ledger

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// Tick is the interval at which a Syncer checks for due reports.
	Tick = 100 * time.Millisecond
	// reportTimeout is the deadline of one report to a holder.
	reportTimeout = 500 * time.Millisecond
	// senderCount is the number of reports that are sent concurrently.
	senderCount = 8
	// queueSize is the maximum number of reports that are queued or in flight.
	// While the queue is full no further reports are created. Nothing is lost:
	// totals are cumulative, so the next report includes everything that a skipped
	// one would have carried.
	queueSize = 64
)

// LocalTotals holds the totals of service that this process has given.
type LocalTotals interface {
	// Collect calls emit for each account whose totals changed or that has waiting
	// requests.
	Collect(emit func(LocalTotal))
	// Merge applies fleet-wide totals received from holders.
	Merge(totals []FleetTotal)
}

// Call sends a report to a holder at addr (IP:port).
type Call func(ctx context.Context, addr string, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error)

// Syncer reports the service that a process gives to the accounts' holders and
// receives the fleet-wide totals.
type Syncer struct {
	// Self is this process. Reports to its own holder are passed directly, without
	// an RPC.
	Self Member
	// Incarnation is the incarnation of this process.
	Incarnation uint64
	// Holder is the process's own holder.
	Holder *Holder
	// Members returns the live processes, including this one, in a fixed order.
	Members func() []Member
	// Totals holds the process's own totals.
	Totals LocalTotals
	// Call sends a report.
	Call Call
	// Metrics receives ledger_reports_total, ledger_failed_total,
	// ledger_ring_full_total, ledger_unheld_accounts and ledger_held_accounts.
	Metrics metrics.Registry
}

// outcome is the result of a report; resp is nil if the report failed.
type outcome struct {
	report Report
	resp   *zinniaquayv1.ReportServiceResponse
}

// Run sends reports until the context ends.
func (d *Syncer) Run(ctx context.Context) {
	reports := make(chan Report, queueSize)
	// The capacity covers all reports that can be queued or in flight, so that
	// senders never block on this channel.
	outcomes := make(chan outcome, queueSize+senderCount)
	var group conc.WaitGroup
	for range senderCount {
		group.Go(func() { d.runSender(ctx, reports, outcomes) })
	}
	d.runReporter(ctx, reports, outcomes)
	close(reports)
	group.Wait()
}

// runReporter is the loop that owns the Reporter.
func (d *Syncer) runReporter(ctx context.Context, reports chan<- Report, outcomes <-chan outcome) {
	reporter := NewReporter(d.Self.Name, d.Incarnation)
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	underway := 0
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-outcomes:
			underway--
			d.handleOutcome(reporter, a)
		case now := <-ticker.C:
			underway += d.tick(now, reporter, reports, queueSize-underway)
		}
	}
}

// tick queues due reports, at most capacity of them, and returns their number.
func (d *Syncer) tick(now time.Time, reporter *Reporter, reports chan<- Report, capacity int) int {
	reporter.SetMembers(now, d.Members())
	d.Totals.Collect(func(local LocalTotal) { reporter.Update(now, local) })
	if capacity == 0 {
		metrics.GetOrRegisterCounter("ledger_ring_full_total", d.Metrics).Inc(1)
	}
	due := reporter.Due(now, capacity)
	for _, report := range due {
		reports <- report // does not block: capacity limits the number of reports
	}
	metrics.GetOrRegisterGauge("ledger_unheld_accounts", d.Metrics).Update(int64(reporter.Unheld()))
	metrics.GetOrRegisterGauge("ledger_held_accounts", d.Metrics).Update(int64(d.Holder.Accounts()))
	return len(due)
}

// handleOutcome updates the reporter and the local totals with the result of a
// report.
func (d *Syncer) handleOutcome(reporter *Reporter, a outcome) {
	now := time.Now()
	if a.resp == nil {
		metrics.GetOrRegisterCounter("ledger_failed_total", d.Metrics).Inc(1)
		reporter.Failed(now, a.report)
		return
	}
	metrics.GetOrRegisterCounter("ledger_reports_total", d.Metrics).Inc(1)
	d.Totals.Merge(reporter.Answered(now, a.report, a.resp))
}

// runSender sends queued reports until the channel is closed.
func (d *Syncer) runSender(ctx context.Context, reports <-chan Report, outcomes chan<- outcome) {
	for report := range reports {
		outcomes <- outcome{report, d.sendReport(ctx, report)}
	}
}

// sendReport returns the holder's response, or nil if the call fails.
func (d *Syncer) sendReport(ctx context.Context, report Report) *zinniaquayv1.ReportServiceResponse {
	if report.Holder.Name == d.Self.Name {
		return d.Holder.Report(time.Now(), report.Request)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := d.Call(ctx, report.Holder.Addr, report.Request)
	if err != nil {
		return nil // counted in ledger_failed_total; the reporter switches to the next holder
	}
	return resp
}
