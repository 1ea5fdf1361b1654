package ledger

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// Tick is the interval at which the duty looks for what is due.
	Tick = 100 * time.Millisecond
	// callTimeout is how long a holder may take to answer.
	callTimeout = 500 * time.Millisecond
	// callers is the number of reports that are under way at once.
	callers = 8
	// ringSize is the number of reports that wait for a caller. While the ring
	// is full nothing more becomes due: totals are running ones, so that the
	// next report carries what this one would have.
	ringSize = 64
)

// LocalTotals is the process's own account of service.
type LocalTotals interface {
	// Collect passes each account that changed or waits to note.
	Collect(note func(LocalTotal))
	// Merge takes over what the ledger answered.
	Merge(totals []FleetTotal)
}

// Call sends a report to a holder at addr (IP:port).
type Call func(ctx context.Context, addr string, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error)

// Syncer reports the service that a process gives and learns the fleet's.
type Syncer struct {
	// Self is the process itself; its own holder is asked without a call.
	Self Member
	// Incarnation of the process.
	Incarnation uint64
	// Holder is the process's own holder.
	Holder *Holder
	// Members names the live processes, this one among them, in a fixed order.
	Members func() []Member
	// Totals is the process's account of service.
	Totals LocalTotals
	// Call sends a report.
	Call Call
	// Metrics takes the duty's metrics: ledger_reports_total, ledger_failed_total,
	// ledger_ring_full_total, ledger_unheld_accounts and ledger_held_accounts.
	Metrics metrics.Registry
}

// answer is what became of a report; resp is nil if there was no answer.
type answer struct {
	report Report
	resp   *zinniaquayv1.ReportServiceResponse
}

// Run works until the context ends.
func (d *Syncer) Run(ctx context.Context) {
	reports := make(chan Report, ringSize)
	// One place for each report that can be under way, so that callers never
	// wait for the duty.
	answers := make(chan answer, ringSize+callers)
	var group conc.WaitGroup
	for range callers {
		group.Go(func() { d.send(ctx, reports, answers) })
	}
	d.decide(ctx, reports, answers)
	close(reports)
	group.Wait()
}

// decide is the duty that owns the reporter.
func (d *Syncer) decide(ctx context.Context, reports chan<- Report, answers <-chan answer) {
	reporter := NewReporter(d.Self.Name, d.Incarnation)
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	underway := 0
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-answers:
			underway--
			d.settle(reporter, a)
		case now := <-ticker.C:
			underway += d.tick(now, reporter, reports, ringSize-underway)
		}
	}
}

// tick sends what is due, at most room reports, and returns their number.
func (d *Syncer) tick(now time.Time, reporter *Reporter, reports chan<- Report, room int) int {
	reporter.SetMembers(now, d.Members())
	d.Totals.Collect(func(local LocalTotal) { reporter.Update(now, local) })
	if room == 0 {
		metrics.GetOrRegisterCounter("ledger_ring_full_total", d.Metrics).Inc(1)
	}
	due := reporter.Due(now, room)
	for _, report := range due {
		reports <- report // there is room: the limit saw to it
	}
	metrics.GetOrRegisterGauge("ledger_unheld_accounts", d.Metrics).Update(int64(reporter.Unheld()))
	metrics.GetOrRegisterGauge("ledger_held_accounts", d.Metrics).Update(int64(d.Holder.Accounts()))
	return len(due)
}

// settle takes in what became of a report.
func (d *Syncer) settle(reporter *Reporter, a answer) {
	now := time.Now()
	if a.resp == nil {
		metrics.GetOrRegisterCounter("ledger_failed_total", d.Metrics).Inc(1)
		reporter.Failed(now, a.report)
		return
	}
	metrics.GetOrRegisterCounter("ledger_reports_total", d.Metrics).Inc(1)
	d.Totals.Merge(reporter.Answered(now, a.report, a.resp))
}

// send is the duty of one caller.
func (d *Syncer) send(ctx context.Context, reports <-chan Report, answers chan<- answer) {
	for report := range reports {
		answers <- answer{report, d.ask(ctx, report)}
	}
}

// ask returns a holder's answer, or nil if there is none.
func (d *Syncer) ask(ctx context.Context, report Report) *zinniaquayv1.ReportServiceResponse {
	if report.Holder.Name == d.Self.Name {
		return d.Holder.Report(time.Now(), report.Request)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := d.Call(ctx, report.Holder.Addr, report.Request)
	if err != nil {
		return nil // counted as ledger_failed_total; the next holder is asked
	}
	return resp
}
