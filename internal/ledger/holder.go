package ledger

import (
	"context"
	"math"
	"sync"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// keptIncarnations is the number of incarnations of one reporter that are
	// kept apart; older ones are summed up and their late reports ignored.
	keptIncarnations = 3
	// contendedFor is how long an account counts as contended after a report
	// that said so.
	contendedFor = 5 * time.Second
	// forgetAfter is how long an account is kept without a report.
	forgetAfter = time.Hour
	// forgetEvery is how often accounts to forget are looked for.
	forgetEvery = time.Minute
	// paceWindow is the time over which reports are counted for the pace.
	paceWindow = 10 * time.Second
	// holderBytesPerSecond is what a holder spends on answers.
	holderBytesPerSecond = 1500
	// answerBytes is what one answer takes beside its totals: HTTP/2 frames and
	// indexed headers.
	answerBytes = 115
	// totalBytes is what one total takes, for an account's name of 16 bytes.
	totalBytes = 46
)

// Holder keeps the totals of the accounts that reporters bring to this process.
// It is safe for concurrent use.
type Holder struct {
	name        string
	incarnation uint64

	mu       sync.Mutex
	accounts map[string]*record
	load     load
	swept    time.Time
}

// NewHolder returns an empty holder of a process.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{name: name, incarnation: incarnation, accounts: make(map[string]*record)}
}

// ReportService serves the call of the same name. It never fails.
func (h *Holder) ReportService(_ context.Context, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
	return h.Report(time.Now(), req), nil
}

// Report takes in a reporter's totals and returns those of the fleet.
func (h *Holder) Report(now time.Time, req *zinniaquayv1.ReportServiceRequest) *zinniaquayv1.ReportServiceResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	resp := &zinniaquayv1.ReportServiceResponse{Holder: h.name, Incarnation: h.incarnation}
	for _, total := range req.GetTotals() {
		r := h.record(now, total.GetAccount())
		own := r.merge(req.GetReporter(), req.GetIncarnation(), valid(total.GetService()))
		r.lift = math.Max(r.lift, valid(total.GetLift()))
		if total.GetContended() {
			r.contendedUntil = now.Add(contendedFor)
		}
		resp.Totals = append(resp.Totals, r.answer(now, total.GetAccount(), own))
	}
	for _, account := range req.GetWant() {
		r := h.record(now, account)
		r.contendedUntil = now.Add(contendedFor)
		resp.Totals = append(resp.Totals, r.answer(now, account, r.own(req.GetReporter(), req.GetIncarnation())))
	}
	h.load.add(now, req.GetReporter(), answerBytes+totalBytes*len(resp.GetTotals()))
	resp.PaceMs = uint32(h.load.pace().Milliseconds())
	return resp
}

// valid returns a total, or 0 for what cannot be one.
func valid(total float64) float64 {
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

// forget drops the accounts that nobody has reported for an hour. The caller
// holds the lock.
func (h *Holder) forget(now time.Time) {
	if now.Sub(h.swept) < forgetEvery {
		return
	}
	h.swept = now
	for account, r := range h.accounts {
		if now.Sub(r.seen) > forgetAfter {
			delete(h.accounts, account)
		}
	}
}

// record returns the account's record and makes one if there is none.
func (h *Holder) record(now time.Time, account string) *record {
	r, ok := h.accounts[account]
	if !ok {
		r = &record{reporters: make(map[string]*parts)}
		h.accounts[account] = r
	}
	r.seen = now
	return r
}

// record is what a holder knows of one account.
type record struct {
	reporters      map[string]*parts
	total          float64
	lift           float64
	contendedUntil time.Time
	seen           time.Time
}

// parts are one reporter's totals by incarnation, the newest first.
type parts struct {
	kept []part
	// folded is the highest incarnation that is no longer kept apart.
	folded uint64
}

// part is the total of one incarnation.
type part struct {
	incarnation uint64
	service     float64
}

// merge takes in the running total of one incarnation and returns the highest
// that it has reported.
func (r *record) merge(reporter string, incarnation uint64, service float64) float64 {
	p, ok := r.reporters[reporter]
	if !ok {
		p = &parts{}
		r.reporters[reporter] = p
	}
	kept := p.find(incarnation)
	if kept == nil {
		return service // folded away: the total has it already
	}
	if service > kept.service {
		r.total += service - kept.service
		kept.service = service
	}
	return kept.service
}

// own returns the highest total that an incarnation has reported.
func (r *record) own(reporter string, incarnation uint64) float64 {
	if p, ok := r.reporters[reporter]; ok {
		for _, kept := range p.kept {
			if kept.incarnation == incarnation {
				return kept.service
			}
		}
	}
	return 0
}

// answer returns the account's fleet-wide total.
func (r *record) answer(now time.Time, account string, own float64) *zinniaquayv1.ServiceTotal {
	return &zinniaquayv1.ServiceTotal{
		Account: account, Service: r.total, Own: own, Lift: r.lift,
		Reporters: uint32(len(r.reporters)), Contended: now.Before(r.contendedUntil),
	}
}

// find returns the part of an incarnation, which it makes if need be, or nil if
// the incarnation has been folded away.
func (p *parts) find(incarnation uint64) *part {
	at := 0
	for ; at < len(p.kept) && p.kept[at].incarnation >= incarnation; at++ {
		if p.kept[at].incarnation == incarnation {
			return &p.kept[at]
		}
	}
	if incarnation <= p.folded || at >= keptIncarnations {
		return nil
	}
	p.kept = append(p.kept, part{})
	copy(p.kept[at+1:], p.kept[at:])
	p.kept[at] = part{incarnation: incarnation}
	if len(p.kept) > keptIncarnations {
		p.folded = p.kept[keptIncarnations].incarnation
		p.kept = p.kept[:keptIncarnations]
	}
	return &p.kept[at]
}

// load counts reporters and bytes of answers in two windows.
type load struct {
	start             time.Time
	reporters, before map[string]struct{}
	bytes, answers    int
}

// add counts one answer.
func (l *load) add(now time.Time, reporter string, bytes int) {
	if l.reporters == nil || now.Sub(l.start) >= paceWindow {
		l.start, l.before = now, l.reporters
		l.reporters = make(map[string]struct{})
		l.bytes, l.answers = 0, 0
	}
	l.reporters[reporter] = struct{}{}
	l.bytes += bytes
	l.answers++
}

// pace returns the interval at which all reporters together use the holder's
// bytes a second.
func (l *load) pace() time.Duration {
	reporters := max(len(l.reporters), len(l.before))
	mean := float64(l.bytes) / float64(max(1, l.answers))
	return time.Duration(float64(reporters) * mean / holderBytesPerSecond * float64(time.Second))
}
