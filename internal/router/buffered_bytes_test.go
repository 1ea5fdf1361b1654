package router

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

func TestSmallBodiesFitWhenLargeBodiesFillTheRouter(t *testing.T) {
	is := is.New(t)
	b := newBufferedBytes()
	for _, flooding := range []string{"a", "b", "c", "d", "e"} {
		for b.fits(flooding, 4<<20) {
			b.add(flooding, 4<<20)
		}
		is.True(b.byAccount[flooding] <= maxAccountBufferedBytes)
	}
	is.True(b.total <= maxBufferedBytes)
	is.True(!b.fits("a", 1))
	is.True(b.fits("village", 64<<10)) // a small request always fits
	b.add("village", 64<<10)
	b.remove("village", 64<<10)
	b.remove("a", 4<<20)
	is.True(b.fits("a", 4<<20)) // ended requests free their bytes
	is.Equal(len(b.byAccount), 4)
}

func TestEnqueueRefusesBodiesOverTheByteLimit(t *testing.T) {
	is := is.New(t)
	store := configstore.NewStore()
	store.Apply(&zinniaquayv1.Configuration{Number: 1, Accounts: map[string]*zinniaquayv1.ClientAccount{"flood": {}}})
	r := New(Options{Store: store, Log: logr.Discard()})
	newRequest := func() *request {
		return &request{id: "request", account: "flood", work: &zinniaquayv1.WorkRequest{Body: make([]byte, maxAccountBufferedBytes)}}
	}
	first := newRequest()
	is.NoErr(r.enqueue(first, store.Current()))
	is.Equal(errkind.Of(r.enqueue(newRequest(), store.Current())), errkind.QueueFull)
	is.True(r.withdraw(first))
	r.releaseBody(first)
	is.NoErr(r.enqueue(newRequest(), store.Current())) // ended requests free their bytes
}
