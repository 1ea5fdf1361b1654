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

const testIncarnation = 7

func newIdleSidecar() *Sidecar {
	return New(Options{Target: "t", Incarnation: testIncarnation, Store: configstore.NewStore(), Log: logr.Discard()})
}

func TestTombstoneReportsWhetherRequestStarted(t *testing.T) {
	cancel := func() {}
	for name, c := range map[string]struct {
		job         *job
		incarnation uint64
		want        zinniaquayv1.TombstoneResponse_Outcome
		state       jobState
	}{
		"pending claim":          {&job{state: claiming}, testIncarnation, zinniaquayv1.TombstoneResponse_never_started, ended},
		"ended before its start": {&job{state: ended}, testIncarnation, zinniaquayv1.TombstoneResponse_never_started, ended},
		"running":                {&job{state: started, cancel: cancel}, testIncarnation, zinniaquayv1.TombstoneResponse_started, started},
		"ran":                    {&job{state: ended, cancel: cancel}, testIncarnation, zinniaquayv1.TombstoneResponse_started, ended},
		"forgotten":              {nil, testIncarnation, zinniaquayv1.TombstoneResponse_unknown, 0},
		"earlier incarnation":    {&job{state: claiming}, testIncarnation - 1, zinniaquayv1.TombstoneResponse_unknown, claiming},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newIdleSidecar()
			if c.job != nil {
				c.job.id, c.job.response = "r.0", newBuffer(s.budget)
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

func TestTombstonedJobDoesNotStart(t *testing.T) {
	is := is.New(t)
	s := newIdleSidecar()
	j := &job{id: "r.0", response: newBuffer(s.budget), claimedAt: time.Now()}
	s.jobs[j.id] = j
	_, err := s.Tombstone(t.Context(), &zinniaquayv1.TombstoneRequest{RequestId: j.id, Incarnation: testIncarnation})
	is.NoErr(err)
	_, ok := s.startJob(j, &zinniaquayv1.WorkRequest{TimeoutMs: 1000})
	is.True(!ok)
}

func TestBufferReturnsFullErrorAndReleasesBytesOnDrop(t *testing.T) {
	is := is.New(t)
	b := newBudget(10, metrics.NewRegistry())
	first, second := newBuffer(b), newBuffer(b)
	is.NoErr(first.add(bodyChunk(make([]byte, 6))))
	is.True(b.overHalfUsed())
	is.Equal(second.add(bodyChunk(make([]byte, 6))), errBufferFull)
	second.addEnd(&zinniaquayv1.End{}) // the end always fits
	chunk, _ := second.chunkFrom(0)
	is.True(chunk.GetEnd() != nil)
	first.drop()
	is.True(!b.overHalfUsed())
	is.NoErr(second.add(bodyChunk(make([]byte, 6))))
}

func TestReleaseDropsOnlyEndedResponses(t *testing.T) {
	is := is.New(t)
	s := newIdleSidecar()
	running, finished := &job{id: "a", state: started, granted: true}, &job{id: "b", state: ended, granted: true}
	for _, j := range []*job{running, finished} {
		j.response = newBuffer(s.budget)
		s.jobs[j.id] = j
	}
	is.Equal(s.undelivered(), 2)
	_, err := s.Release(context.Background(), &zinniaquayv1.ReleaseRequest{RequestIds: []string{"a", "b", "c"}, Incarnation: testIncarnation})
	is.NoErr(err)
	is.Equal(s.undelivered(), 1) // a release does not drop a running job
}
