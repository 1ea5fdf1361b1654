package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// UnreportedAllowance is the service, in tokens or units, that all
	// reporters of an account together may keep back from its holder.
	UnreportedAllowance = 4096
	// ContendedAge is the longest time that service of an account that waits
	// beside others is kept back.
	ContendedAge = time.Second
	// UncontendedAge is the same for an account that nothing waits beside.
	UncontendedAge = 2 * time.Second
	// MaxStaleness is the longest time until every process that orders a contended
	// account has counted a token, where bytes and pace allow: until it is
	// reported, and until the other process asks.
	MaxStaleness = 2 * (ContendedAge + Tick)
	// leastInterval is the least time between two reports to one holder.
	leastInterval = 100 * time.Millisecond
	// suspectFor is how long a holder that failed is passed over.
	suspectFor = 2 * time.Second
	// reporterBytesPerSecond is what a reporter spends on reports.
	reporterBytesPerSecond = 2000
	// reporterBurstBytes is what a reporter may send at once.
	reporterBurstBytes = 4000
	// reportBytes is what one report takes beside its totals: HTTP/2 frames and
	// indexed headers.
	reportBytes = 115
	// MaxBatch is the most accounts in one report.
	MaxBatch = 64
)

// LocalTotal is what this process knows of one account.
type LocalTotal struct {
	// Account is the client account.
	Account string
	// Service is the running total that this process gave, since its start.
	Service float64
	// Lift is the account's lift in virtual service.
	Lift float64
	// Waiting says that requests of the account wait here, so that its
	// fleet-wide total is wanted.
	Waiting bool
	// Contended says that other accounts wait here as well.
	Contended bool
}

// FleetTotal is what the ledger answered about one account.
type FleetTotal struct {
	// Account is the client account.
	Account string
	// Others is service given by other processes and earlier incarnations.
	Others float64
	// Own is service given by this incarnation, as the holder knows it.
	Own float64
	// Lift is the account's lift in virtual service.
	Lift float64
	// Reporters is the number of processes that reported service.
	Reporters int
}

// Report is one message to a holder.
type Report struct {
	// Holder is where the report goes.
	Holder Member
	// Request is the message.
	Request *zinniaquayv1.ReportServiceRequest
}

// Reporter decides which totals go to which holder and when. It is not safe for
// concurrent use.
type Reporter struct {
	name        string
	incarnation uint64
	ring        *ring
	accounts    map[string]*account
	pending     map[string]*account
	holders     map[string]*holderState
	bytes       float64
	filled      time.Time
	unheld      int
	// suspects says that a holder may be passed over.
	suspects bool
}

// account is what the reporter knows of one account.
type account struct {
	LocalTotal
	hash      uint64
	holder    Member
	held      bool
	reported  float64
	lift      float64
	since     time.Time // of the oldest thing to report
	answered  time.Time
	reporters float64
	contended bool // anywhere, as the holder said
}

// holderState is what the reporter knows of one holder.
type holderState struct {
	incarnation uint64
	inFlight    bool
	notBefore   time.Time
	suspect     time.Time
}

// NewReporter returns a reporter of a process.
func NewReporter(name string, incarnation uint64) *Reporter {
	return &Reporter{
		name: name, incarnation: incarnation,
		ring:     newRing(nil),
		accounts: make(map[string]*account),
		pending:  make(map[string]*account),
		holders:  make(map[string]*holderState),
		bytes:    reporterBurstBytes,
	}
}

// SetMembers names the processes that may hold accounts, the reporter's own
// among them, in any fixed order.
func (r *Reporter) SetMembers(now time.Time, members []Member) {
	if r.ring.equalMembers(members) {
		return
	}
	r.ring = newRing(slices.Clone(members))
	for _, a := range r.accounts {
		r.place(now, a)
	}
}

// Update takes in what this process knows of an account.
func (r *Reporter) Update(now time.Time, local LocalTotal) {
	a, ok := r.accounts[local.Account]
	if !ok {
		a = &account{hash: xxhash.Sum64String(local.Account), reporters: 1}
		a.LocalTotal = local
		r.accounts[local.Account] = a
		r.place(now, a)
	}
	a.LocalTotal = local
	if a.news() || a.Waiting {
		r.await(now, a)
	}
}

// Unheld returns the number of accounts that no reachable process holds, which
// are ordered by what this process knows alone.
func (r *Reporter) Unheld() int { return r.unheld }

// Due returns the reports to send now, at most limit, each account in one at
// most. Each must be followed by Answered or Failed.
func (r *Reporter) Due(now time.Time, limit int) []Report {
	r.refill(now)
	r.clearSuspects(now)
	r.unheld = 0
	byHolder := make(map[Member][]*account)
	for name, a := range r.pending {
		if !a.Waiting && !a.news() {
			delete(r.pending, name)
			continue
		}
		if r.suspects {
			r.place(now, a)
		}
		if !a.held {
			r.unheld++
			continue
		}
		if r.due(now, a) {
			byHolder[a.holder] = append(byHolder[a.holder], a)
		}
	}
	return r.batch(now, byHolder, limit)
}

// Answered takes in a holder's answer and returns what it says.
func (r *Reporter) Answered(now time.Time, report Report, resp *zinniaquayv1.ReportServiceResponse) []FleetTotal {
	h := r.state(report.Holder.Name)
	h.inFlight = false
	h.suspect = time.Time{}
	h.notBefore = now.Add(max(leastInterval, time.Duration(resp.GetPaceMs())*time.Millisecond))
	if h.incarnation != 0 && h.incarnation != resp.GetIncarnation() {
		r.forgotten(now, report.Holder.Name)
	}
	h.incarnation = resp.GetIncarnation()
	for _, sent := range report.Request.GetTotals() {
		a := r.accounts[sent.GetAccount()]
		if a.held && a.holder == report.Holder {
			a.reported, a.lift = max(a.reported, sent.GetService()), max(a.lift, sent.GetLift())
		}
	}
	return r.take(now, resp.GetTotals())
}

// Failed says that a report had no answer. The holder is passed over for a
// while; whether it took the report in does not matter.
func (r *Reporter) Failed(now time.Time, report Report) {
	h := r.state(report.Holder.Name)
	h.inFlight = false
	h.suspect = now.Add(suspectFor)
	r.suspects = true
	for _, a := range r.accounts {
		if a.held && a.holder == report.Holder {
			r.place(now, a)
		}
	}
}

// clearSuspects brings all accounts back to their first holders once none is
// passed over any more.
func (r *Reporter) clearSuspects(now time.Time) {
	if !r.suspects {
		return
	}
	for _, h := range r.holders {
		if now.Before(h.suspect) {
			return
		}
	}
	r.suspects = false
	for _, a := range r.accounts {
		r.place(now, a)
	}
}

// take turns a holder's answer into totals.
func (r *Reporter) take(now time.Time, totals []*zinniaquayv1.ServiceTotal) []FleetTotal {
	var result []FleetTotal
	for _, t := range totals {
		a, ok := r.accounts[t.GetAccount()]
		if !ok {
			continue
		}
		a.answered, a.since = now, now
		a.reporters = max(1, float64(t.GetReporters()))
		a.contended = t.GetContended()
		result = append(result, FleetTotal{
			Account: t.GetAccount(), Others: t.GetService() - t.GetOwn(), Own: t.GetOwn(),
			Lift: t.GetLift(), Reporters: int(t.GetReporters()),
		})
	}
	return result
}

// place finds an account's holder. A new one is owed the whole total.
func (r *Reporter) place(now time.Time, a *account) {
	holder, ok := r.ring.holder(a.hash, func(name string) bool {
		h, known := r.holders[name]
		return !known || !now.Before(h.suspect)
	})
	if ok == a.held && holder == a.holder {
		return
	}
	a.holder, a.held = holder, ok
	a.reported, a.lift = 0, 0
	a.answered = time.Time{}
	if a.news() {
		r.await(now, a)
	}
}

// await puts an account among those that something may be due for.
func (r *Reporter) await(now time.Time, a *account) {
	if _, ok := r.pending[a.Account]; !ok {
		a.since = now
		r.pending[a.Account] = a
	}
}

// forgotten marks all that a restarted holder has lost as not reported.
func (r *Reporter) forgotten(now time.Time, holder string) {
	for _, a := range r.accounts {
		if a.held && a.holder.Name == holder {
			a.reported, a.lift = 0, 0
			if a.news() {
				r.await(now, a)
			}
		}
	}
}

// news reports whether the holder lacks something.
func (a *account) news() bool { return a.Service > a.reported || a.Lift > a.lift }

// due reports whether an account has to be reported or asked for now.
func (r *Reporter) due(now time.Time, a *account) bool {
	if a.Waiting && a.answered.IsZero() {
		return true
	}
	age := UncontendedAge
	if a.Contended || a.contended {
		age = ContendedAge
		if a.Service-a.reported >= UnreportedAllowance/a.reporters {
			return true
		}
	}
	return now.Sub(a.since) >= age
}

// batch turns due accounts into reports, within the bytes that are left. The
// account that was kept back longest goes first.
func (r *Reporter) batch(now time.Time, byHolder map[Member][]*account, limit int) []Report {
	var reports []Report
	for holder, accounts := range byHolder {
		h := r.state(holder.Name)
		if h.inFlight || now.Before(h.notBefore) {
			continue
		}
		slices.SortFunc(accounts, func(a, b *account) int {
			return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.Account, b.Account))
		})
		accounts = accounts[:min(len(accounts), MaxBatch)]
		reports = append(reports, Report{holder, r.message(accounts)})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(r.oldest(a).Compare(r.oldest(b)), cmp.Compare(a.Holder.Name, b.Holder.Name))
	})
	sent := 0
	for ; sent < min(limit, len(reports)) && r.bytes > 0; sent++ {
		r.bytes -= float64(sizeOf(reports[sent].Request))
		r.state(reports[sent].Holder.Name).inFlight = true
	}
	return reports[:sent]
}

// oldest returns since when the first account of a report has waited.
func (r *Reporter) oldest(report Report) time.Time {
	if totals := report.Request.GetTotals(); len(totals) > 0 {
		return r.accounts[totals[0].GetAccount()].since
	}
	return r.accounts[report.Request.GetWant()[0]].since
}

// message returns the report about some accounts.
func (r *Reporter) message(accounts []*account) *zinniaquayv1.ReportServiceRequest {
	req := &zinniaquayv1.ReportServiceRequest{Reporter: r.name, Incarnation: r.incarnation}
	for _, a := range accounts {
		if !a.news() {
			req.Want = append(req.Want, a.Account)
			continue
		}
		req.Totals = append(req.Totals, &zinniaquayv1.ServiceTotal{
			Account: a.Account, Service: a.Service, Lift: a.Lift, Contended: a.Contended,
		})
	}
	return req
}

// sizeOf returns the bytes that a report takes.
func sizeOf(req *zinniaquayv1.ReportServiceRequest) int {
	return reportBytes + totalBytes*len(req.GetTotals()) + totalBytes/2*len(req.GetWant())
}

// refill adds the bytes earned since the last call.
func (r *Reporter) refill(now time.Time) {
	if !r.filled.IsZero() {
		earned := now.Sub(r.filled).Seconds() * reporterBytesPerSecond
		r.bytes = min(reporterBurstBytes, r.bytes+earned)
	}
	r.filled = now
}

// state returns what is known of a holder.
func (r *Reporter) state(name string) *holderState {
	h, ok := r.holders[name]
	if !ok {
		h = &holderState{}
		r.holders[name] = h
	}
	return h
}
