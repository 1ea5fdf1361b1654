package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

const thisIncarnation = 7

func newIdle() *Sidecar {
	return New(Options{Target: "t", Incarnation: thisIncarnation, Store: configstore.NewStore(), Log: logr.Discard()})
}

func TestATombstoneTellsTheTruth(t *testing.T) {
	stop := func() {}
	for name, c := range map[string]struct {
		job         *job
		incarnation uint64
		want        zinniaquayv1.TombstoneResponse_Outcome
		state       jobState
	}{
		"claim on its way":   {&job{state: claiming}, thisIncarnation, zinniaquayv1.TombstoneResponse_never_started, ended},
		"barred before":      {&job{state: ended}, thisIncarnation, zinniaquayv1.TombstoneResponse_never_started, ended},
		"running":            {&job{state: started, stop: stop}, thisIncarnation, zinniaquayv1.TombstoneResponse_started, started},
		"ran":                {&job{state: ended, stop: stop}, thisIncarnation, zinniaquayv1.TombstoneResponse_started, ended},
		"forgotten":          {nil, thisIncarnation, zinniaquayv1.TombstoneResponse_unknown, 0},
		"of an earlier life": {&job{state: claiming}, thisIncarnation - 1, zinniaquayv1.TombstoneResponse_unknown, claiming},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newIdle()
			if c.job != nil {
				c.job.id, c.job.answer = "r.0", newBuffer(s.budget)
				s.jobs["r.0"] = c.job
			}
			res, err := s.Tombstone(t.Context(), &zinniaquayv1.TombstoneRequest{RequestId: "r.0", Incarnation: c.incarnation})
			is.NoErr(err)
			is.Equal(res.GetOutcome(), c.want)
			if c.job != nil {
				is.Equal(c.job.state, c.state)
			}
		})
	}
}

func TestABarredJobNeverBegins(t *testing.T) {
	is := is.New(t)
	s := newIdle()
	j := &job{id: "r.0", answer: newBuffer(s.budget), claimedAt: time.Now()}
	s.jobs[j.id] = j
	_, err := s.Tombstone(t.Context(), &zinniaquayv1.TombstoneRequest{RequestId: j.id, Incarnation: thisIncarnation})
	is.NoErr(err)
	_, ok := s.begin(j, &zinniaquayv1.WorkRequest{TimeoutMs: 1000})
	is.True(!ok)
}

func TestBufferAnswersFullAndGivesRoomBack(t *testing.T) {
	is := is.New(t)
	b := newBudget(10, metrics.NewRegistry())
	first, second := newBuffer(b), newBuffer(b)
	is.NoErr(first.add(bodyChunk(make([]byte, 6))))
	is.True(b.scarce())
	is.Equal(second.add(bodyChunk(make([]byte, 6))), errBufferFull)
	second.end(&zinniaquayv1.End{}) // there is always room for the end
	chunk, _ := second.next(0)
	is.True(chunk.GetEnd() != nil)
	first.drop()
	is.True(!b.scarce())
	is.NoErr(second.add(bodyChunk(make([]byte, 6))))
}

func TestAnAnswerIsDroppedOnceItsRouterHasIt(t *testing.T) {
	is := is.New(t)
	s := newIdle()
	running, whole := &job{id: "a", state: started, granted: true}, &job{id: "b", state: ended, granted: true}
	for _, j := range []*job{running, whole} {
		j.answer = newBuffer(s.budget)
		s.jobs[j.id] = j
	}
	is.Equal(s.owed(), 2)
	_, err := s.Release(context.Background(), &zinniaquayv1.ReleaseRequest{RequestIds: []string{"a", "b", "c"}, Incarnation: thisIncarnation})
	is.NoErr(err)
	is.Equal(s.owed(), 1) // what runs stays, whatever a release says
}
