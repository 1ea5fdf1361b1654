package ledger

import (
	"context"
	"math"
	"sync"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// maxTrackedIncarnations is the number of incarnations of one reporter whose
	// totals are stored separately. Older ones remain only in the account's total,
	// and late reports from them are ignored.
	maxTrackedIncarnations = 3
	// contentionTTL is how long an account counts as contended after a report
	// that marks it as contended or asks for its total.
	contentionTTL = 5 * time.Second
	// accountTTL is how long an account is kept without being reported or asked
	// for.
	accountTTL = time.Hour
	// expiryInterval is the interval between scans for expired accounts.
	expiryInterval = time.Minute
	// paceWindow is the window over which reporters and response bytes are counted
	// to compute the pace.
	paceWindow = 10 * time.Second
	// holderBytesPerSecond is the bandwidth that a holder may use for responses.
	holderBytesPerSecond = 1500
	// responseOverheadBytes is the size of a response without its totals: HTTP/2
	// frames and indexed headers.
	responseOverheadBytes = 115
	// bytesPerTotal is the encoded size of one total with a 16-byte account name.
	bytesPerTotal = 46
)

// Holder stores the totals that reporters send to this process. It is
// safe for concurrent use.
type Holder struct {
	name        string
	incarnation uint64

	mu         sync.Mutex
	accounts   map[string]*record
	load       responseLoad
	lastExpiry time.Time
}

// NewHolder returns an empty holder for a process.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{name: name, incarnation: incarnation, accounts: make(map[string]*record)}
}

// ReportService implements the RPC. It never fails.
func (h *Holder) ReportService(_ context.Context, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
	return h.Report(time.Now(), req), nil
}

// Report merges a reporter's totals and returns the fleet-wide totals of the
// accounts in the request.
func (h *Holder) Report(now time.Time, req *zinniaquayv1.ReportServiceRequest) *zinniaquayv1.ReportServiceResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireAccounts(now)
	resp := &zinniaquayv1.ReportServiceResponse{Holder: h.name, Incarnation: h.incarnation}
	for _, total := range req.GetTotals() {
		r := h.getOrCreateRecord(now, total.GetAccount())
		own := r.merge(req.GetReporter(), req.GetIncarnation(), validTotal(total.GetService()))
		r.lift = math.Max(r.lift, validTotal(total.GetLift()))
		if total.GetContended() {
			r.contendedUntil = now.Add(contentionTTL)
		}
		resp.Totals = append(resp.Totals, r.serviceTotal(now, total.GetAccount(), own))
	}
	for _, account := range req.GetWant() {
		r := h.getOrCreateRecord(now, account)
		r.contendedUntil = now.Add(contentionTTL)
		resp.Totals = append(resp.Totals, r.serviceTotal(now, account, r.ownTotal(req.GetReporter(), req.GetIncarnation())))
	}
	h.load.add(now, req.GetReporter(), responseOverheadBytes+bytesPerTotal*len(resp.GetTotals()))
	resp.PaceMs = uint32(h.load.pace().Milliseconds())
	return resp
}

// validTotal returns total, or 0 if it is negative, infinite or not a number.
func validTotal(total float64) float64 {
	if total >= 0 && total <= math.MaxFloat64 {
		return total
	}
	return 0
}

// Accounts returns the number of accounts held.
func (h *Holder) Accounts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.accounts)
}

// expireAccounts deletes accounts that were neither reported nor asked for within
// accountTTL. The caller holds the lock.
func (h *Holder) expireAccounts(now time.Time) {
	if now.Sub(h.lastExpiry) < expiryInterval {
		return
	}
	h.lastExpiry = now
	for account, r := range h.accounts {
		if now.Sub(r.lastSeen) > accountTTL {
			delete(h.accounts, account)
		}
	}
}

// getOrCreateRecord returns the account's record, creating it if there is none.
func (h *Holder) getOrCreateRecord(now time.Time, account string) *record {
	r, ok := h.accounts[account]
	if !ok {
		r = &record{reporters: make(map[string]*reporterTotals)}
		h.accounts[account] = r
	}
	r.lastSeen = now
	return r
}

// record is a holder's state for one account.
type record struct {
	reporters      map[string]*reporterTotals
	total          float64
	lift           float64
	contendedUntil time.Time
	lastSeen       time.Time
}

// reporterTotals holds one reporter's totals by incarnation, newest first.
type reporterTotals struct {
	tracked []incarnationTotal
	// compactedThrough is the highest incarnation that is no longer stored
	// separately.
	compactedThrough uint64
}

// incarnationTotal is the total of one incarnation.
type incarnationTotal struct {
	incarnation uint64
	service     float64
}

// merge records the running total of one incarnation and returns the highest
// total that this incarnation has reported.
func (r *record) merge(reporter string, incarnation uint64, service float64) float64 {
	p, ok := r.reporters[reporter]
	if !ok {
		p = &reporterTotals{}
		r.reporters[reporter] = p
	}
	t := p.findOrAdd(incarnation)
	if t == nil {
		return service // compacted: r.total already includes this incarnation
	}
	if service > t.service {
		r.total += service - t.service
		t.service = service
	}
	return t.service
}

// ownTotal returns the highest total that an incarnation has reported.
func (r *record) ownTotal(reporter string, incarnation uint64) float64 {
	if p, ok := r.reporters[reporter]; ok {
		for _, t := range p.tracked {
			if t.incarnation == incarnation {
				return t.service
			}
		}
	}
	return 0
}

// serviceTotal returns the account's fleet-wide total.
func (r *record) serviceTotal(now time.Time, account string, own float64) *zinniaquayv1.ServiceTotal {
	return &zinniaquayv1.ServiceTotal{
		Account: account, Service: r.total, Own: own, Lift: r.lift,
		Reporters: uint32(len(r.reporters)), Contended: now.Before(r.contendedUntil),
	}
}

// findOrAdd returns the total of an incarnation, adding one if there is none. It
// returns nil if the incarnation is too old to be stored separately.
func (p *reporterTotals) findOrAdd(incarnation uint64) *incarnationTotal {
	at := 0
	for ; at < len(p.tracked) && p.tracked[at].incarnation >= incarnation; at++ {
		if p.tracked[at].incarnation == incarnation {
			return &p.tracked[at]
		}
	}
	if incarnation <= p.compactedThrough || at >= maxTrackedIncarnations {
		return nil
	}
	p.tracked = append(p.tracked, incarnationTotal{})
	copy(p.tracked[at+1:], p.tracked[at:])
	p.tracked[at] = incarnationTotal{incarnation: incarnation}
	if len(p.tracked) > maxTrackedIncarnations {
		p.compactedThrough = p.tracked[maxTrackedIncarnations].incarnation
		p.tracked = p.tracked[:maxTrackedIncarnations]
	}
	return &p.tracked[at]
}

// responseLoad counts reporters in the current and the previous window, and
// responses and their bytes in the current one.
type responseLoad struct {
	start                        time.Time
	reporters, previousReporters map[string]struct{}
	responseBytes, responses     int
}

// add counts one response.
func (l *responseLoad) add(now time.Time, reporter string, bytes int) {
	if l.reporters == nil || now.Sub(l.start) >= paceWindow {
		l.start, l.previousReporters = now, l.reporters
		l.reporters = make(map[string]struct{})
		l.responseBytes, l.responses = 0, 0
	}
	l.reporters[reporter] = struct{}{}
	l.responseBytes += bytes
	l.responses++
}

// pace returns the report interval at which the responses to all reporters
// together take holderBytesPerSecond.
func (l *responseLoad) pace() time.Duration {
	reporters := max(len(l.reporters), len(l.previousReporters))
	mean := float64(l.responseBytes) / float64(max(1, l.responses))
	return time.Duration(float64(reporters) * mean / holderBytesPerSecond * float64(time.Second))
}
