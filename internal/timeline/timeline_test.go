package timeline

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// logicalClock is a logical clock without wall-clock time: each stamp is one
// greater than the last.
type logicalClock struct{ last uint64 }

func (l *logicalClock) now() uint64            { l.last++; return l.last }
func (l *logicalClock) observe(message uint64) { l.last = max(l.last, message) }

func newTestRecorder(process string, capacity int) (*Recorder, *logicalClock) {
	l := &logicalClock{}
	return NewRecorder(process, capacity, l.now, metrics.NewRegistry()), l
}

func events(t *testing.T, r *Recorder, req *zinniaquayv1.EventsRequest) []string {
	t.Helper()
	res, err := r.Events(t.Context(), req)
	is.New(t).NoErr(err)
	return details(res.GetEvents())
}

func details(events []*zinniaquayv1.Event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.GetProcess()+"/"+e.GetDetail())
	}
	return out
}

func TestFullRecorderDropsAndCountsOldestEvents(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRecorder("p", 3)
	for _, detail := range []string{"a", "b", "c", "d", "e"} {
		r.Record(RequestAccepted, "req-"+detail, detail)
	}
	is.Equal(events(t, r, &zinniaquayv1.EventsRequest{}), []string{"p/c", "p/d", "p/e"})
	is.Equal(events(t, r, &zinniaquayv1.EventsRequest{Limit: 1}), []string{"p/c"})
	is.Equal(events(t, r, &zinniaquayv1.EventsRequest{AfterClock: 4}), []string{"p/e"})
	is.Equal(events(t, r, &zinniaquayv1.EventsRequest{RequestId: "req-d"}), []string{"p/d"})
	res, err := r.Events(t.Context(), &zinniaquayv1.EventsRequest{})
	is.NoErr(err)
	is.Equal(res.GetDropped(), uint64(2))
	is.Equal(r.droppedTotal.Count(), int64(2))
}

func TestUnknownKindsAreRecordedAsUnlisted(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRecorder("p", 3)
	r.Record("request.vanished", "", strings.Repeat("x", 2*MaxDetailBytes))
	res, err := r.Events(t.Context(), &zinniaquayv1.EventsRequest{})
	is.NoErr(err)
	is.Equal(res.GetEvents()[0].GetKind(), string(Unlisted))
	is.Equal(len(res.GetEvents()[0].GetDetail()), MaxDetailBytes)
	var nilRecorder *Recorder
	nilRecorder.Record(RequestAccepted, "", "") // a nil recorder ignores events
}

func TestCollectOrdersCausallyAndListsSilentProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		router, routerClock := newTestRecorder("router", 9)
		sidecar, sidecarClock := newTestRecorder("sidecar", 9)
		routerClock.observe(100) // the router's clock runs far ahead
		router.Record(RequestAccepted, "r", "1")
		sidecarClock.observe(routerClock.last) // the reservation arrives
		sidecar.Record(RequestClaimed, "r", "2")
		routerClock.observe(sidecarClock.last) // the claim arrives
		router.Record(RequestClaimed, "r", "3")
		hangs := func(ctx context.Context, _ *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		fails := func(context.Context, *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
			return nil, errors.New("refused")
		}
		sources := []Source{{"sidecar", sidecar.Events}, {"slow", hangs}, {"router", router.Events}, {"dead", fails}}
		got := Collect(t.Context(), sources, &zinniaquayv1.EventsRequest{})
		is.Equal(details(got.Events), []string{"router/1", "sidecar/2", "router/3"})
		is.Equal(got.Silent, []string{"dead", "slow"})
		is.Equal(len(Collect(t.Context(), sources[:1], &zinniaquayv1.EventsRequest{Limit: 1}).Events), 1)
	})
}
