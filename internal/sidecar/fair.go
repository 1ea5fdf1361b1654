package sidecar

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
)

// tokenService is what one token of a stream is charged. An answer that comes
// whole is charged at once, and tells nothing of the time to its first token.
const tokenService = 1

// rateDecay is what is left of the highest rate of service a second later.
const rateDecay = 0.99

// receipt is what a job has received, as fairness and capacity count it.
type receipt struct {
	charge    *fairness.Charge
	startedAt time.Time
	heard     bool
}

// charge adds service to a job's account as the target generates it.
func (s *Sidecar) charge(j *job, service float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !j.receipt.heard && service == tokenService {
		s.gate.ObserveFirstToken(now, now.Sub(j.receipt.startedAt))
	}
	j.receipt.heard = true
	s.gate.ObserveProgress(now)
	j.receipt.charge.Add(service)
}

// configure lets the gate and the counters follow the configuration in force.
// The caller holds the lock.
func (s *Sidecar) configure() {
	number := s.opts.Store.Number()
	if number == s.configured {
		return
	}
	s.configured = number
	s.gate.SetBounds(boundsOf(s.opts.Store.Current(), s.opts.Target))
	s.counters.ReloadWeights()
	s.setCredit()
}

// setCredit sets how far an account may trail. Other targets are taken to give
// as much as this one. The caller holds the lock.
func (s *Sidecar) setCredit() {
	snap := s.opts.Store.Current()
	if snap == nil || s.rate == 0 {
		return // the default is ample
	}
	own := snap.Doc.GetTargets()[s.opts.Target]
	places := 0
	for _, name := range snap.Targets(own.GetService(), own.GetVersion()) {
		places += boundsOf(snap, name).Max
	}
	fleetRate := s.rate * float64(len(snap.Doc.GetTargets()))
	s.counters.SetCredit(fairness.Credit(max(1, places), s.counters.MeanCost(), fleetRate, ledger.MaxStaleness.Seconds()))
}

// countRate takes in the service given since the last call. The rate falls
// slowly, because a credit that is too small costs accounts service. The caller
// holds the lock.
func (s *Sidecar) countRate(now time.Time) {
	if elapsed := now.Sub(s.counted).Seconds(); elapsed > 0 && !s.counted.IsZero() {
		s.rate = max(rateDecay*s.rate, (s.counters.TotalService()-s.given)/elapsed)
	}
	s.given, s.counted = s.counters.TotalService(), now
}

// totals returns the service that this process gave, by account. The caller
// holds the lock.
func (s *Sidecar) totals() []*zinniaquayv1.ServiceTotal {
	var totals []*zinniaquayv1.ServiceTotal
	s.counters.VisitAll(func(v fairness.AccountState) {
		totals = append(totals, &zinniaquayv1.ServiceTotal{Account: v.Account, Service: v.Own, Lift: v.Lift})
	})
	return totals
}

// report does the ledger's duty until the context ends.
func (s *Sidecar) report(ctx context.Context) {
	if s.opts.Holder == nil || s.opts.Members == nil {
		return
	}
	d := &ledger.Syncer{
		Self:        ledger.Member{Name: s.opts.Name},
		Incarnation: s.opts.Incarnation,
		Holder:      s.opts.Holder,
		Members:     s.opts.Members,
		Totals:      &book{s},
		Call: func(ctx context.Context, addr string, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
			return s.opts.Pool.Get(addr).Peer.ReportService(ctx, req)
		},
		Metrics: s.opts.Metrics,
	}
	d.Run(ctx)
}

// book is the sidecar's account of service as the ledger sees it.
type book struct{ sidecar *Sidecar }

// Collect implements ledger.LocalTotals.
func (b *book) Collect(note func(ledger.LocalTotal)) {
	s := b.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	contended := s.counters.Waiting() > 1
	s.counters.VisitChanged(func(v fairness.AccountState) {
		note(ledger.LocalTotal{
			Account: v.Account, Service: v.Own, Lift: v.Lift,
			Waiting: v.Waiting, Contended: v.Waiting && contended,
		})
	})
	metrics.GetOrRegisterGauge("fairness_waiting_accounts", s.opts.Metrics).Update(int64(s.counters.Waiting()))
	metrics.GetOrRegisterGaugeFloat64("fairness_spread_service", s.opts.Metrics).Update(s.counters.Spread())
}

// Merge implements ledger.LocalTotals.
func (b *book) Merge(totals []ledger.FleetTotal) {
	s := b.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range totals {
		s.counters.Merge(t.Account, fairness.FleetTotal{Others: t.Others, Own: t.Own, Lift: t.Lift, Reporters: t.Reporters})
	}
}
