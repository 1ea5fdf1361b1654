package sidecar

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// run offers a started request to the target and buffers the answer.
func (s *Sidecar) run(ctx context.Context, j *job, work *zinniaquayv1.WorkRequest) {
	defer j.stop()
	watch := s.watchAnswer(work)
	end, outcome := s.engine.run(ctx, work, j.answer, func(service float64) {
		watch.heard(time.Now())
		s.charge(j, service)
	})
	s.observe(watch, j.answer.status(), end)
	if end.GetErrorKind() == string(errkind.Canceled) {
		outcome = capacity.Canceled
	}
	s.finish(j, end, outcome)
}

// finish ends a started job and gives its room back.
func (s *Sidecar) finish(j *job, end *zinniaquayv1.End, outcome capacity.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	j.state = ended
	j.endedAt = now
	j.answer.end(end)
	j.receipt.charge.Settle()
	if !j.granted {
		s.drop(j)
	}
	s.gate.Finish(now, outcome)
	s.poke()
}
