package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// A flood from one account must not keep the requests of other accounts out of
// a full router.
func TestFullRouterEvictsNewestRequestsOfLargestBacklog(t *testing.T) {
	is := is.New(t)
	doc := &zinniaquayv1.Configuration{Number: 1, Accounts: map[string]*zinniaquayv1.ClientAccount{"flood": {}, "village": {MaxWaiting: 3}}}
	store := configstore.NewStore()
	store.Apply(doc)
	r := New(Options{Store: store, Log: logr.Discard(), MaxWaiting: 10})
	enqueue := func(account string, i int) (*request, error) {
		req := &request{
			id: fmt.Sprint(account, i), account: account, queuedAt: time.Unix(int64(i), 0),
			evicted: make(chan struct{}), granted: make(chan assignment, 1),
		}
		return req, r.enqueue(req, store.Current())
	}
	floods := make([]*request, 0, 12)
	for i := range 12 {
		req, err := enqueue("flood", i)
		is.Equal(err != nil, i >= 10)
		floods = append(floods, req)
	}
	for i := range 4 {
		_, err := enqueue("village", i)
		is.Equal(err != nil, i >= 3) // MaxWaiting of the account
	}
	is.Equal(r.queues.len(), 10)
	is.Equal(r.queues.waitingOf("village"), 3)
	for i, req := range floods[:10] {
		_, err := r.awaitAssignment(t.Context(), grantUnlessEvicted(req, i >= 7))
		is.Equal(err != nil, i >= 7) // the newest requests of the flood were evicted
		if err != nil {
			is.Equal(errkind.Of(err), errkind.QueueFull)
			is.True(req.withdrawn)
		}
	}
}

// grantUnlessEvicted grants a request that is not to be evicted, so that the
// wait for it returns.
func grantUnlessEvicted(req *request, evicted bool) *request {
	if !evicted {
		req.granted <- assignment{}
	}
	return req
}
