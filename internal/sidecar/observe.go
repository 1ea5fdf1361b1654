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

// newReporter returns the reporter of evidence on the target.
func (s *Sidecar) newReporter() *evidence.Reporter {
	return evidence.NewReporter(evidence.ReporterOptions{
		Target:      s.opts.Target,
		Incarnation: s.opts.Incarnation,
		Store:       s.opts.Store,
		Verdicts:    s.opts.Verdicts,
		Routers:     s.opts.EvidenceRouters,
		Usage:       s.targetUse,
		Call: func(ctx context.Context, addr string, req *zinniaquayv1.ReportEvidenceRequest) (*zinniaquayv1.ReportEvidenceResponse, error) {
			return s.opts.Pool.Get(addr).Evidence.ReportEvidence(ctx, req)
		},
		Metrics: s.opts.Metrics,
	})
}

// targetUse returns what the target does at this moment.
func (s *Sidecar) targetUse() evidence.TargetUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return evidence.TargetUsage{Running: s.gate.Running(), Ready: s.loaded}
}

// answerWatch takes the times of one answer.
type answerWatch struct {
	observation move.Observation
	startedAt   time.Time
	firstAt     time.Time
	lastAt      time.Time
	parts       int
}

// watchAnswer begins to watch the answer to a request that starts now.
func (s *Sidecar) watchAnswer(work *zinniaquayv1.WorkRequest) *answerWatch {
	if s.reporter != nil {
		s.reporter.Started()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	most := boundsOf(s.opts.Store.Current(), s.opts.Target).Max
	return &answerWatch{
		startedAt: time.Now(),
		observation: move.Observation{
			Route:   move.RouteOf(work.GetMethod(), work.GetPath()),
			Account: work.GetAccount(),
			Load:    move.LoadOf(s.gate.Running(), most),
		},
	}
}

// heard notes that the target generated a part of the answer.
func (w *answerWatch) heard(now time.Time) {
	if w.parts == 0 {
		w.firstAt = now
	}
	w.lastAt = now
	w.parts++
}

// observe enters an answer that ended as evidence on its version. One that was
// never offered to the target, or whose caller has gone, is none.
func (s *Sidecar) observe(w *answerWatch, status uint32, end *zinniaquayv1.End) {
	if s.reporter == nil || end.GetNotRun() || end.GetErrorKind() == string(errkind.Canceled) {
		return
	}
	o := w.observation
	switch {
	case end.GetErrorKind() != "" || status >= http.StatusInternalServerError:
		o.Outcome = move.Failed
	case status >= http.StatusBadRequest:
		o.Outcome = move.Refused
	}
	if w.parts > 0 {
		o.FirstToken = w.firstAt.Sub(w.startedAt)
	}
	if w.parts > 1 {
		o.TokenGap = w.lastAt.Sub(w.firstAt) / time.Duration(w.parts-1)
	}
	s.reporter.Observe(o)
}
