package sidecar

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
)

// servicePerToken is the service charged for one token of a stream. A response
// that is not streamed is charged at once, so it does not show the time to the
// first token.
const servicePerToken = 1

// rateDecayPerSecond is the factor by which the maximum service rate decays
// each second.
const rateDecayPerSecond = 0.99

// jobAccounting is the state of a job that fairness and capacity use.
type jobAccounting struct {
	charge     *fairness.Charge
	startedAt  time.Time
	progressed bool
}

// chargeService charges service to a job's account as the target generates it.
func (s *Sidecar) chargeService(j *job, service float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !j.accounting.progressed && service == servicePerToken {
		s.gate.ObserveFirstToken(now, now.Sub(j.accounting.startedAt))
	}
	j.accounting.progressed = true
	s.gate.ObserveProgress(now)
	j.accounting.charge.Add(service)
}

// applyConfig applies the current configuration to the gate and the counters if
// it has changed. The caller holds the lock.
func (s *Sidecar) applyConfig() {
	number := s.opts.Store.Number()
	if number == s.appliedConfig {
		return
	}
	s.appliedConfig = number
	s.gate.SetBounds(boundsOf(s.opts.Store.Current(), s.opts.Target))
	s.counters.ReloadWeights()
	s.setCredit()
}

// setCredit sets the service by which an account may lag behind others. It
// assumes that other targets provide as much service as this one. The caller
// holds the lock.
func (s *Sidecar) setCredit() {
	snap := s.opts.Store.Current()
	if snap == nil || s.serviceRate == 0 {
		return // the default is sufficient
	}
	own := snap.Doc.GetTargets()[s.opts.Target]
	slots := 0
	for _, name := range snap.Targets(own.GetService(), own.GetVersion()) {
		slots += boundsOf(snap, name).Max
	}
	fleetRate := s.serviceRate * float64(len(snap.Doc.GetTargets()))
	s.counters.SetCredit(fairness.Credit(max(1, slots), s.counters.MeanCost(), fleetRate, ledger.MaxStaleness.Seconds()))
}

// updateServiceRate updates the rate with the service provided since the last
// call. The rate decays slowly, because accounts lose service if the credit is
// too small. The caller holds the lock.
func (s *Sidecar) updateServiceRate(now time.Time) {
	if elapsed := now.Sub(s.lastRateUpdate).Seconds(); elapsed > 0 && !s.lastRateUpdate.IsZero() {
		s.serviceRate = max(rateDecayPerSecond*s.serviceRate, (s.counters.TotalService()-s.serviceAtLastUpdate)/elapsed)
	}
	s.serviceAtLastUpdate, s.lastRateUpdate = s.counters.TotalService(), now
}

// totals returns the service that this process provided, by account. The caller
// holds the lock.
func (s *Sidecar) totals() []*zinniaquayv1.ServiceTotal {
	var totals []*zinniaquayv1.ServiceTotal
	s.counters.VisitAll(func(v fairness.AccountState) {
		totals = append(totals, &zinniaquayv1.ServiceTotal{Account: v.Account, Service: v.Own, Lift: v.Lift})
	})
	return totals
}

// syncLedger synchronizes service totals with the ledger until the context
// ends.
func (s *Sidecar) syncLedger(ctx context.Context) {
	if s.opts.Holder == nil || s.opts.Members == nil {
		return
	}
	syncer := &ledger.Syncer{
		Self:        ledger.Member{Name: s.opts.Name},
		Incarnation: s.opts.Incarnation,
		Holder:      s.opts.Holder,
		Members:     s.opts.Members,
		Totals:      &localTotals{s},
		Call: func(ctx context.Context, addr string, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
			return s.opts.Pool.Get(addr).Peer.ReportService(ctx, req)
		},
		Metrics: s.opts.Metrics,
	}
	syncer.Run(ctx)
}

// localTotals exposes the sidecar's service totals to the ledger.
type localTotals struct{ sidecar *Sidecar }

// Collect implements ledger.LocalTotals.
func (l *localTotals) Collect(visit func(ledger.LocalTotal)) {
	s := l.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	contended := s.counters.Waiting() > 1
	s.counters.VisitChanged(func(v fairness.AccountState) {
		visit(ledger.LocalTotal{
			Account: v.Account, Service: v.Own, Lift: v.Lift,
			Waiting: v.Waiting, Contended: v.Waiting && contended,
		})
	})
	metrics.GetOrRegisterGauge("fairness_waiting_accounts", s.opts.Metrics).Update(int64(s.counters.Waiting()))
	metrics.GetOrRegisterGaugeFloat64("fairness_spread_service", s.opts.Metrics).Update(s.counters.Spread())
}

// Merge implements ledger.LocalTotals.
func (l *localTotals) Merge(totals []ledger.FleetTotal) {
	s := l.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range totals {
		s.counters.Merge(t.Account, fairness.FleetTotal{Others: t.Others, Own: t.Own, Lift: t.Lift, Reporters: t.Reporters})
	}
}
