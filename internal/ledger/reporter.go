package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// MaxUnreportedService is the service, in tokens or units, that all reporters
	// of a contended account together may leave unreported.
	MaxUnreportedService = 4096
	// ContendedReportDelay is the maximum delay before service of a contended
	// account is reported. An account is contended while it waits together with
	// other accounts.
	ContendedReportDelay = time.Second
	// UncontendedReportDelay is the same for an account that is not contended.
	UncontendedReportDelay = 2 * time.Second
	// MaxStaleness is the maximum time until every process that orders requests of
	// a contended account has counted a token, if byte budgets and pace allow: the
	// delay until the token is reported plus the delay until the other process
	// asks for the total.
	MaxStaleness = 2 * (ContendedReportDelay + Tick)
	// minReportInterval is the minimum time between two reports to one holder.
	minReportInterval = 100 * time.Millisecond
	// suspectDuration is how long a holder is skipped after a failed report.
	suspectDuration = 2 * time.Second
	// reporterBytesPerSecond is the bandwidth that a reporter may use for reports.
	reporterBytesPerSecond = 2000
	// reporterMaxBurstBytes is the size of the token bucket for report bytes.
	reporterMaxBurstBytes = 4000
	// reportOverheadBytes is the size of a report without its totals: HTTP/2 frames
	// and indexed headers.
	reportOverheadBytes = 115
	// MaxBatch is the maximum number of accounts in one report.
	MaxBatch = 64
)

// LocalTotal is the local state of one account.
type LocalTotal struct {
	// Account is the client account.
	Account string
	// Service is the total service that this process has given since its start.
	Service float64
	// Lift is the account's lift in virtual service.
	Lift float64
	// Waiting reports whether requests of the account wait in this process, which
	// therefore needs the account's fleet-wide total.
	Waiting bool
	// Contended reports whether other accounts wait in this process as well.
	Contended bool
}

// FleetTotal is the fleet-wide total of one account as returned by its holder.
type FleetTotal struct {
	// Account is the client account.
	Account string
	// Others is the service given by other processes and by earlier incarnations of
	// this one.
	Others float64
	// Own is the service given by this incarnation that the holder has recorded.
	Own float64
	// Lift is the account's lift in virtual service.
	Lift float64
	// Reporters is the number of processes that reported service.
	Reporters int
}

// Report is one request to a holder.
type Report struct {
	// Holder is the process that the report is sent to.
	Holder Member
	// Request is the request to send.
	Request *zinniaquayv1.ReportServiceRequest
}

// Reporter decides which totals are sent to which holder and when. It is not safe
// for concurrent use.
type Reporter struct {
	name        string
	incarnation uint64
	rendezvous  *rendezvous
	accounts    map[string]*accountState
	pending     map[string]*accountState
	holders     map[string]*holderState
	budgetBytes float64
	lastRefill  time.Time
	unheld      int
	// hasSuspects is set while a holder may be skipped after a failed report.
	hasSuspects bool
}

// accountState is the reporter's state for one account.
type accountState struct {
	LocalTotal
	hash              uint64
	holder            Member
	held              bool
	reportedService   float64
	reportedLift      float64
	pendingSince      time.Time // start of the current report delay
	lastResponse      time.Time
	reporters         float64
	contendedAnywhere bool // at any reporter, from the holder's last response
}

// holderState is the reporter's state for one holder.
type holderState struct {
	incarnation  uint64
	inFlight     bool
	notBefore    time.Time
	suspectUntil time.Time
}

// NewReporter returns a reporter for a process.
func NewReporter(name string, incarnation uint64) *Reporter {
	return &Reporter{
		name: name, incarnation: incarnation,
		rendezvous:  newRendezvous(nil),
		accounts:    make(map[string]*accountState),
		pending:     make(map[string]*accountState),
		holders:     make(map[string]*holderState),
		budgetBytes: reporterMaxBurstBytes,
	}
}

// SetMembers sets the processes that may hold accounts, including the reporter's
// own, in any fixed order.
func (r *Reporter) SetMembers(now time.Time, members []Member) {
	if r.rendezvous.hasMembers(members) {
		return
	}
	r.rendezvous = newRendezvous(slices.Clone(members))
	for _, a := range r.accounts {
		r.assignHolder(now, a)
	}
}

// Update sets the local state of an account.
func (r *Reporter) Update(now time.Time, local LocalTotal) {
	a, ok := r.accounts[local.Account]
	if !ok {
		a = &accountState{hash: xxhash.Sum64String(local.Account), reporters: 1}
		a.LocalTotal = local
		r.accounts[local.Account] = a
		r.assignHolder(now, a)
	}
	a.LocalTotal = local
	if a.hasUnreported() || a.Waiting {
		r.markPending(now, a)
	}
}

// Unheld returns the number of accounts without a reachable holder. They are
// ordered by local totals only.
func (r *Reporter) Unheld() int { return r.unheld }

// Due returns the reports to send now, at most limit of them. Each account is in
// at most one report. The caller must pass each report to Answered or Failed.
func (r *Reporter) Due(now time.Time, limit int) []Report {
	r.refill(now)
	r.clearSuspects(now)
	r.unheld = 0
	byHolder := make(map[Member][]*accountState)
	for name, a := range r.pending {
		if !a.Waiting && !a.hasUnreported() {
			delete(r.pending, name)
			continue
		}
		if r.hasSuspects {
			r.assignHolder(now, a)
		}
		if !a.held {
			r.unheld++
			continue
		}
		if r.isDue(now, a) {
			byHolder[a.holder] = append(byHolder[a.holder], a)
		}
	}
	return r.buildReports(now, byHolder, limit)
}

// Answered applies a holder's response and returns the totals in it.
func (r *Reporter) Answered(now time.Time, report Report, resp *zinniaquayv1.ReportServiceResponse) []FleetTotal {
	h := r.stateOf(report.Holder.Name)
	h.inFlight = false
	h.suspectUntil = time.Time{}
	h.notBefore = now.Add(max(minReportInterval, time.Duration(resp.GetPaceMs())*time.Millisecond))
	if h.incarnation != 0 && h.incarnation != resp.GetIncarnation() {
		r.markUnreported(now, report.Holder.Name)
	}
	h.incarnation = resp.GetIncarnation()
	for _, sent := range report.Request.GetTotals() {
		a := r.accounts[sent.GetAccount()]
		if a.held && a.holder == report.Holder {
			a.reportedService, a.reportedLift = max(a.reportedService, sent.GetService()), max(a.reportedLift, sent.GetLift())
		}
	}
	return r.fleetTotals(now, resp.GetTotals())
}

// Failed records that a report got no response. The holder is skipped for
// suspectDuration. Whether it processed the report does not matter, because
// totals are merged by maximum.
func (r *Reporter) Failed(now time.Time, report Report) {
	h := r.stateOf(report.Holder.Name)
	h.inFlight = false
	h.suspectUntil = now.Add(suspectDuration)
	r.hasSuspects = true
	for _, a := range r.accounts {
		if a.held && a.holder == report.Holder {
			r.assignHolder(now, a)
		}
	}
}

// clearSuspects assigns all accounts to their first-ranked holders again once no
// holder is skipped any more.
func (r *Reporter) clearSuspects(now time.Time) {
	if !r.hasSuspects {
		return
	}
	for _, h := range r.holders {
		if now.Before(h.suspectUntil) {
			return
		}
	}
	r.hasSuspects = false
	for _, a := range r.accounts {
		r.assignHolder(now, a)
	}
}

// fleetTotals updates the accounts with the totals of a response and returns
// them.
func (r *Reporter) fleetTotals(now time.Time, totals []*zinniaquayv1.ServiceTotal) []FleetTotal {
	var result []FleetTotal
	for _, t := range totals {
		a, ok := r.accounts[t.GetAccount()]
		if !ok {
			continue
		}
		a.lastResponse, a.pendingSince = now, now
		a.reporters = max(1, float64(t.GetReporters()))
		a.contendedAnywhere = t.GetContended()
		result = append(result, FleetTotal{
			Account: t.GetAccount(), Others: t.GetService() - t.GetOwn(), Own: t.GetOwn(),
			Lift: t.GetLift(), Reporters: int(t.GetReporters()),
		})
	}
	return result
}

// assignHolder assigns an account to its first-ranked holder that is not
// suspect. A new holder must be sent the whole total.
func (r *Reporter) assignHolder(now time.Time, a *accountState) {
	holder, ok := r.rendezvous.holder(a.hash, func(name string) bool {
		h, known := r.holders[name]
		return !known || !now.Before(h.suspectUntil)
	})
	if ok == a.held && holder == a.holder {
		return
	}
	a.holder, a.held = holder, ok
	a.reportedService, a.reportedLift = 0, 0
	a.lastResponse = time.Time{}
	if a.hasUnreported() {
		r.markPending(now, a)
	}
}

// markPending adds an account to those that Due checks.
func (r *Reporter) markPending(now time.Time, a *accountState) {
	if _, ok := r.pending[a.Account]; !ok {
		a.pendingSince = now
		r.pending[a.Account] = a
	}
}

// markUnreported marks the totals of all accounts of a restarted holder as not
// reported, because the holder has lost them.
func (r *Reporter) markUnreported(now time.Time, holder string) {
	for _, a := range r.accounts {
		if a.held && a.holder.Name == holder {
			a.reportedService, a.reportedLift = 0, 0
			if a.hasUnreported() {
				r.markPending(now, a)
			}
		}
	}
}

// hasUnreported reports whether the account has service or lift that its holder
// has not acknowledged.
func (a *accountState) hasUnreported() bool {
	return a.Service > a.reportedService || a.Lift > a.reportedLift
}

// isDue reports whether an account must be reported or its total requested now.
func (r *Reporter) isDue(now time.Time, a *accountState) bool {
	if a.Waiting && a.lastResponse.IsZero() {
		return true
	}
	age := UncontendedReportDelay
	if a.Contended || a.contendedAnywhere {
		age = ContendedReportDelay
		if a.Service-a.reportedService >= MaxUnreportedService/a.reporters {
			return true
		}
	}
	return now.Sub(a.pendingSince) >= age
}

// buildReports returns reports on due accounts within the remaining byte budget.
// The account that has been pending longest is sent first.
func (r *Reporter) buildReports(now time.Time, byHolder map[Member][]*accountState, limit int) []Report {
	var reports []Report
	for holder, accounts := range byHolder {
		h := r.stateOf(holder.Name)
		if h.inFlight || now.Before(h.notBefore) {
			continue
		}
		slices.SortFunc(accounts, func(a, b *accountState) int {
			return cmp.Or(a.pendingSince.Compare(b.pendingSince), cmp.Compare(a.Account, b.Account))
		})
		accounts = accounts[:min(len(accounts), MaxBatch)]
		reports = append(reports, Report{holder, r.newRequest(accounts)})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(r.oldestPending(a).Compare(r.oldestPending(b)), cmp.Compare(a.Holder.Name, b.Holder.Name))
	})
	sent := 0
	for ; sent < min(limit, len(reports)) && r.budgetBytes > 0; sent++ {
		r.budgetBytes -= float64(reportSizeBytes(reports[sent].Request))
		r.stateOf(reports[sent].Holder.Name).inFlight = true
	}
	return reports[:sent]
}

// oldestPending returns the time since which the first account of a report has
// been pending.
func (r *Reporter) oldestPending(report Report) time.Time {
	if totals := report.Request.GetTotals(); len(totals) > 0 {
		return r.accounts[totals[0].GetAccount()].pendingSince
	}
	return r.accounts[report.Request.GetWant()[0]].pendingSince
}

// newRequest returns the request that reports the accounts. Accounts without
// unreported totals are only asked for.
func (r *Reporter) newRequest(accounts []*accountState) *zinniaquayv1.ReportServiceRequest {
	req := &zinniaquayv1.ReportServiceRequest{Reporter: r.name, Incarnation: r.incarnation}
	for _, a := range accounts {
		if !a.hasUnreported() {
			req.Want = append(req.Want, a.Account)
			continue
		}
		req.Totals = append(req.Totals, &zinniaquayv1.ServiceTotal{
			Account: a.Account, Service: a.Service, Lift: a.Lift, Contended: a.Contended,
		})
	}
	return req
}

// reportSizeBytes returns the estimated size of a report.
func reportSizeBytes(req *zinniaquayv1.ReportServiceRequest) int {
	return reportOverheadBytes + bytesPerTotal*len(req.GetTotals()) + bytesPerTotal/2*len(req.GetWant())
}

// refill adds the bytes that accrued to the budget since the last call.
func (r *Reporter) refill(now time.Time) {
	if !r.lastRefill.IsZero() {
		earned := now.Sub(r.lastRefill).Seconds() * reporterBytesPerSecond
		r.budgetBytes = min(reporterMaxBurstBytes, r.budgetBytes+earned)
	}
	r.lastRefill = now
}

// stateOf returns the state of a holder, creating it if there is none.
func (r *Reporter) stateOf(name string) *holderState {
	h, ok := r.holders[name]
	if !ok {
		h = &holderState{}
		r.holders[name] = h
	}
	return h
}
