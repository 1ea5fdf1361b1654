package sidecar

import (
	"context"
	"net/http"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/move"
)

// newReporter returns the evidence reporter for the target.
func (s *Sidecar) newReporter() *evidence.Reporter {
	return evidence.NewReporter(evidence.ReporterOptions{
		Target:      s.opts.Target,
		Incarnation: s.opts.Incarnation,
		Store:       s.opts.Store,
		Verdicts:    s.opts.Verdicts,
		Routers:     s.opts.EvidenceRouters,
		Usage:       s.targetUsage,
		Call: func(ctx context.Context, addr string, req *zinniaquayv1.ReportEvidenceRequest) (*zinniaquayv1.ReportEvidenceResponse, error) {
			return s.opts.Pool.Get(addr).Evidence.ReportEvidence(ctx, req)
		},
		Metrics: s.opts.Metrics,
	})
}

// targetUsage returns the current usage of the target.
func (s *Sidecar) targetUsage() evidence.TargetUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return evidence.TargetUsage{Running: s.gate.Running(), Ready: s.loaded}
}

// responseTiming records the times of one response.
type responseTiming struct {
	observation move.Observation
	startedAt   time.Time
	firstPartAt time.Time
	lastPartAt  time.Time
	parts       int
}

// startTiming starts timing the response to a request that starts now.
func (s *Sidecar) startTiming(work *zinniaquayv1.WorkRequest) *responseTiming {
	if s.reporter != nil {
		s.reporter.Started()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maxRunning := boundsOf(s.opts.Store.Current(), s.opts.Target).Max
	return &responseTiming{
		startedAt: time.Now(),
		observation: move.Observation{
			Route:   move.RouteOf(work.GetMethod(), work.GetPath()),
			Account: work.GetAccount(),
			Load:    move.LoadOf(s.gate.Running(), maxRunning),
		},
	}
}

// recordPart records that the target generated a part of the response.
func (t *responseTiming) recordPart(now time.Time) {
	if t.parts == 0 {
		t.firstPartAt = now
	}
	t.lastPartAt = now
	t.parts++
}

// recordEvidence records an ended response as evidence about its version. A
// request that was never sent to the target, or whose caller disconnected,
// provides no evidence.
func (s *Sidecar) recordEvidence(t *responseTiming, status uint32, end *zinniaquayv1.End) {
	if s.reporter == nil || end.GetNotRun() || end.GetErrorKind() == string(errkind.Canceled) {
		return
	}
	o := t.observation
	switch {
	case end.GetErrorKind() != "" || status >= http.StatusInternalServerError:
		o.Outcome = move.Failed
	case status >= http.StatusBadRequest:
		o.Outcome = move.Refused
	}
	if t.parts > 0 {
		o.FirstToken = t.firstPartAt.Sub(t.startedAt)
	}
	if t.parts > 1 {
		o.TokenGap = t.lastPartAt.Sub(t.firstPartAt) / time.Duration(t.parts-1)
	}
	s.reporter.Observe(o)
}
