package ring

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func drain(r *Ring[int]) []int {
	r.Close()
	var out []int
	for v := range r.Values() {
		out = append(out, v)
	}
	return out
}

func TestFullRingRefusesOffersAndDropsTheOldestOnPush(t *testing.T) {
	is := is.New(t)
	r := New[int]("a", 2, metrics.NewRegistry())
	is.True(r.Offer(1))
	is.True(r.Offer(2))
	is.True(!r.Offer(3)) // full: refused
	is.Equal(r.refused.Count(), int64(1))
	r.Push(4) // full: the oldest value is dropped
	is.Equal(r.dropped.Count(), int64(1))
	is.Equal(r.depth.Value(), int64(2))
	is.Equal(drain(r), []int{2, 4})
}

func TestPutWaitsForSpaceOrContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New[int]("a", 1, metrics.NewRegistry())
		is.NoErr(r.Put(t.Context(), 1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(r.Put(ctx, 2), context.DeadlineExceeded))
		time.AfterFunc(time.Second, func() { <-r.Values() })
		is.NoErr(r.Put(t.Context(), 3))
		is.Equal(r.waited.Count(), int64(2))
		is.Equal(drain(r), []int{3})
	})
}
