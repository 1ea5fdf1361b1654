package exchange

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// Whatever the size of the fleet and of its reports, a process spends no more
// than its budget.
func TestReportsStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	for _, peers := range []int{1, 3, 30, 369} {
		for _, cost := range []int{60, 200, 800, 5000} {
			pause, reach := plan(cost, peers)
			is.True(reach >= 1 && reach <= peers)
			is.True(pause >= fastest && pause <= slowest)
			spent := float64(cost*reach) / pause.Seconds()
			const rounding = 1e-6
			is.True(spent <= budgetBytes*(1+rounding) || reach == 1) // one report a second is the least
		}
	}
	pause, reach := plan(150, 4)
	is.True(reach == 4 && pause < 200*time.Millisecond) // small fleets hear each other often
}

type source struct{ merged []uint32 }

func (s *source) Report(bool) *zinniaquayv1.GatewayReport { return &zinniaquayv1.GatewayReport{} }
func (s *source) Merge(r *zinniaquayv1.GatewayReport)     { s.merged = append(s.merged, r.GetSequence()) }

func TestReportsThatAreOvertakenAreDropped(t *testing.T) {
	is := is.New(t)
	s := &source{}
	e := New(catalog.Member{Name: "self"}, s, nil, metrics.NewRegistry(), logr.Discard())
	report := func(name string, incarnation, sequence uint32) {
		e.take(&zinniaquayv1.GatewayReport{Sender: HashName(name), Incarnation: incarnation, Sequence: sequence})
	}
	report("peer", 1, 2)
	report("peer", 1, 1) // late
	report("peer", 1, 2) // twice
	report("self", 1, 9) // our own
	report("peer", 1, 3)
	report("peer", 7, 1) // restarted
	is.Equal(s.merged, []uint32{2, 3, 1})
}
