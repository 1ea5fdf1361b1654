package sidecar

import (
	"context"
	"fmt"
	"strings"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
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
	s.record(timeline.RequestEnded, j.id, describe(end))
	j.receipt.charge.Settle()
	if !j.granted {
		s.drop(j)
	}
	s.gate.Finish(now, outcome)
	s.poke()
}

// record puts an event about a request on the time line, under the ID that the
// caller knows: a hand-out's ID without its number.
func (s *Sidecar) record(kind timeline.Kind, handoutID, detail string) {
	id, _, _ := strings.Cut(handoutID, ".")
	s.opts.Events.Record(kind, id, detail)
}

// describe tells a person how an answer ended.
func describe(end *zinniaquayv1.End) string {
	if end.GetErrorKind() == "" {
		return fmt.Sprintf("whole, service %g", end.GetService())
	}
	return fmt.Sprintf("%s: %s, service %g", end.GetErrorKind(), end.GetMessage(), end.GetService())
}
