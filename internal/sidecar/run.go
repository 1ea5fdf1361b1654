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

// run sends a started request to the target and buffers the response.
func (s *Sidecar) run(ctx context.Context, j *job, work *zinniaquayv1.WorkRequest) {
	defer j.cancel()
	timing := s.startTiming(work)
	end, outcome := s.client.run(ctx, work, j.response, func(service float64) {
		timing.recordPart(time.Now())
		s.chargeService(j, service)
	})
	s.recordEvidence(timing, j.response.status(), end)
	if end.GetErrorKind() == string(errkind.Canceled) {
		outcome = capacity.Canceled
	}
	s.finish(j, end, outcome)
}

// finish ends a started job and frees its slot.
func (s *Sidecar) finish(j *job, end *zinniaquayv1.End, outcome capacity.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	j.state = ended
	j.endedAt = now
	j.response.addEnd(end)
	s.record(timeline.RequestEnded, j.id, describeEnd(end))
	j.accounting.charge.Settle()
	if !j.granted {
		s.dropJob(j)
	}
	s.gate.Finish(now, outcome)
	s.wakeDispatcher()
}

// record records a timeline event about a request under the ID that the caller
// has: the attempt ID without the attempt number.
func (s *Sidecar) record(kind timeline.Kind, attemptID, detail string) {
	id, _, _ := strings.Cut(attemptID, ".")
	s.opts.Events.Record(kind, id, detail)
}

// describeEnd returns a readable description of how a response ended.
func describeEnd(end *zinniaquayv1.End) string {
	if end.GetErrorKind() == "" {
		return fmt.Sprintf("whole, service %g", end.GetService())
	}
	return fmt.Sprintf("%s: %s, service %g", end.GetErrorKind(), end.GetMessage(), end.GetService())
}
