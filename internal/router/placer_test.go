package router

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

// newTestRouter returns a router with one target, t1.
func newTestRouter() *Router {
	store := configstore.NewStore()
	store.Apply(&zinniaquayv1.Configuration{
		Number:   1,
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: map[string]*zinniaquayv1.Service{"planner": {Version: "v1"}},
		Targets:  map[string]*zinniaquayv1.Target{"t1": {Service: "planner", Version: "v1", Zone: "a", SidecarAddr: "127.0.0.1:1"}},
	})
	return New(Options{Store: store, Log: logr.Discard()})
}

// enqueueTestRequest enqueues a request of the account village.
func enqueueTestRequest(t *testing.T, r *Router, id string, now time.Time) *request {
	t.Helper()
	req := &request{
		id: id, account: "village", service: "planner", version: "v1",
		work:     &zinniaquayv1.WorkRequest{Headers: []*zinniaquayv1.Header{{Name: requestIDHeader, Value: id}}},
		deadline: now.Add(time.Minute), granted: make(chan assignment, 1),
	}
	is.New(t).NoErr(r.enqueue(req, r.opts.Store.Current()))
	return req
}

func TestRequestInEmptyQueueIsPlacedWithoutDelay(t *testing.T) {
	is := is.New(t)
	r := newTestRouter()
	now := time.Now()
	for _, id := range []string{"first", "second"} {
		req := enqueueTestRequest(t, r, id, now)
		batches, _ := r.placer.dueBatches(now)
		is.True(batches["t1"] != nil) // without waiting for the next round
		res, err := r.Claim(t.Context(), &zinniaquayv1.ClaimRequest{RequestId: req.attemptID(), Target: "t1", Account: "village"})
		is.NoErr(err)
		is.True(res.GetGranted())
		is.Equal(len(res.GetNext()), 0) // the queue is empty
		now = now.Add(time.Millisecond)
	}
}

// TestClaimReturnsAReservationWhileRequestsWait covers a claim whose target
// still counts an earlier claim in Held, although the response to that claim
// contained no further reservation. If the response to this claim contained none
// either, no target would hold a reservation of the queue.
func TestClaimReturnsAReservationWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	r := newTestRouter()
	now := time.Now()
	claimed := enqueueTestRequest(t, r, "claimed", now)
	enqueueTestRequest(t, r, "waiting", now)
	res, err := r.Claim(t.Context(), &zinniaquayv1.ClaimRequest{RequestId: claimed.attemptID(), Target: "t1", Account: "village", Held: 1})
	is.NoErr(err)
	is.Equal(len(res.GetNext()), 1)
}
