package router

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

func TestLargeBodiesOfAFewAccountsDoNotKeepOthersOut(t *testing.T) {
	is := is.New(t)
	h := newHoldings()
	for _, flooding := range []string{"a", "b", "c", "d", "e"} {
		for h.fits(flooding, 4<<20) {
			h.take(flooding, 4<<20)
		}
		is.True(h.byAccount[flooding] <= maxAccountHeldBytes)
	}
	is.True(h.total <= maxHeldBytes)
	is.True(!h.fits("a", 1))
	is.True(h.fits("village", 64<<10)) // a small request always fits
	h.take("village", 64<<10)
	h.give("village", 64<<10)
	h.give("a", 4<<20)
	is.True(h.fits("a", 4<<20)) // what ended makes room
	is.Equal(len(h.byAccount), 4)
}

func TestARouterRefusesMoreBytesThanItMayHold(t *testing.T) {
	is := is.New(t)
	store := configstore.NewStore()
	store.Apply(&zinniaquayv1.Configuration{Number: 1, Accounts: map[string]*zinniaquayv1.ClientAccount{"flood": {}}})
	r := New(Options{Store: store, Log: logr.Discard()})
	newRequest := func() *request {
		return &request{id: "request", account: "flood", work: &zinniaquayv1.WorkRequest{Body: make([]byte, maxAccountHeldBytes)}}
	}
	first := newRequest()
	is.NoErr(r.enqueue(first, store.Current()))
	is.Equal(errkind.Of(r.enqueue(newRequest(), store.Current())), errkind.QueueFull)
	is.True(r.withdraw(first))
	r.release(first)
	is.NoErr(r.enqueue(newRequest(), store.Current())) // what ended makes room
}
