package router

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

func TestQueueThatWasEmptyIsPlacedAtOnce(t *testing.T) {
	is := is.New(t)
	store := configstore.NewStore()
	store.Apply(&zinniaquayv1.Configuration{
		Number:   1,
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: map[string]*zinniaquayv1.Service{"planner": {Version: "v1"}},
		Targets:  map[string]*zinniaquayv1.Target{"t1": {Service: "planner", Version: "v1", Zone: "a", SidecarAddr: "127.0.0.1:1"}},
	})
	r := New(Options{Store: store, Log: logr.Discard()})
	now := time.Now()
	for _, id := range []string{"first", "second"} {
		req := &request{
			id: id, account: "village", service: "planner", version: "v1",
			work:     &zinniaquayv1.WorkRequest{Headers: []*zinniaquayv1.Header{{Name: requestIDHeader, Value: id}}},
			deadline: now.Add(time.Minute), granted: make(chan holder, 1),
		}
		is.NoErr(r.enqueue(req, store.Current()))
		placed, _ := r.placer.due(now)
		is.True(placed["t1"] != nil) // without waiting for the next round
		res, err := r.Claim(t.Context(), &zinniaquayv1.ClaimRequest{RequestId: req.handoutID(), Target: "t1", Account: "village"})
		is.NoErr(err)
		is.True(res.GetGranted())
		is.Equal(len(res.GetNext()), 0) // the queue is empty
		now = now.Add(time.Millisecond)
	}
}
