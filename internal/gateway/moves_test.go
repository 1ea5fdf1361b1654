package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// movingView returns a view in which a service moves to version v2.
func movingView(seen time.Time) *catalog.View {
	return &catalog.View{
		Targets: map[string]*catalog.Target{
			"a": {ID: "a", Service: "s", Version: "v1"}, "b": {ID: "b", Service: "s", Version: "v2"},
		},
		Moves:    map[string]*catalog.MoveOrder{"s": {Service: "s", To: "v2", Duration: 12 * time.Second, Seen: seen, Revision: 5}},
		Statuses: map[string]catalog.MoveStatus{},
		Members:  map[string]catalog.Member{"edge-1": {}},
	}
}

func TestAVersionUnderTrialGetsASmallShare(t *testing.T) {
	is := is.New(t)
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(time.Now()), time.Now())
	tried := 0
	for range 1000 {
		if m.version("s", "r").Only == "v2" {
			tried++
		}
	}
	is.True(tried > 40 && tried <= 100)
	is.Equal(m.version("other", "r"), dispatch.Versions{})
}

func TestABadVersionGetsNothingMoreAndIsReverted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(now), now)
	for range 100 {
		m.note("s", dispatch.Versions{Not: "v2"}, dispatch.Answered, 50*time.Millisecond)
	}
	for range leastBad / 2 {
		m.note("s", dispatch.Versions{Only: "v2"}, dispatch.Failed, 50*time.Millisecond)
		m.note("s", dispatch.Versions{Only: "v2"}, dispatch.Answered, time.Second) // many times slower
	}
	for range 100 {
		is.Equal(m.version("s", "r"), dispatch.Versions{Not: "v2"})
	}
	is.Equal(m.due(now), []due{{"s", "v2", catalog.Reverted}})
	view := movingView(now)
	view.Statuses["s"] = catalog.MoveStatus{To: "v2", State: catalog.Reverted, Revision: 9}
	m.setView(view, now)
	is.Equal(len(m.due(now)), 0)
	delete(view.Moves, "s")
	m.setView(view, now)
	is.Equal(m.version("s", "r"), dispatch.Versions{Not: "v2"}) // also when the order is gone
}

func TestEvidenceOfPeersCounts(t *testing.T) {
	is := is.New(t)
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(time.Now()), time.Now())
	m.merge("edge-2", []*zinniaquayv1.MoveEvidence{{Order: 5, Answers: 10, Bad: 10}, {Order: 4, Answers: 99, Bad: 99}})
	is.Equal(m.version("s", "r"), dispatch.Versions{Not: "v2"})
}

func TestASoundVersionIsCompletedBeforeItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(now), now)
	is.Equal(m.due(now), []due{{"s", "v2", catalog.InProgress}})
	for range leastTrial {
		m.note("s", dispatch.Versions{Only: "v2"}, dispatch.Answered, 50*time.Millisecond)
	}
	is.Equal(m.due(now.Add(5 * time.Second))[0].state, catalog.InProgress)
	is.Equal(m.due(now.Add(11 * time.Second))[0].state, catalog.Completed)
	view := movingView(now)
	view.Statuses["s"] = catalog.MoveStatus{To: "v2", State: catalog.Completed, Revision: 9}
	m.setView(view, now)
	is.Equal(m.version("s", "r"), dispatch.Versions{Only: "v2"})
}

// Whatever the size of the fleet, its members' budgets together stay within the
// bound on second sends.
func TestBudgetsOfAllMembersStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	const ratio, slack = 0.2, 54.0
	for _, members := range []int{1, 4, 5, 31, 370} {
		for _, requests := range []int{1, 5, 400} {
			sends := 0
			for range members {
				r := newRetryBudgets(Bounds{RetryRatio: ratio, RetrySlack: slack, RetryWindow: 10 * time.Second})
				r.setMembers(members)
				for range requests {
					r.request("s")
					for r.take("s") {
						sends++
					}
				}
			}
			is.True(float64(sends) <= ratio*float64(members*requests)+slack)
		}
	}
}
