package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

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
		Moves:        map[string]*catalog.MoveOrder{"s": {Service: "s", To: "v2", Duration: 12 * time.Second, FirstSeen: seen, Revision: 5}},
		MoveStatuses: map[string]catalog.MoveStatus{},
		Members:      map[string]catalog.Member{"edge-1": {}},
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
	is.Equal(m.version("other", "r"), dispatch.VersionFilter{})
}

func TestABadVersionGetsNothingMoreAndIsReverted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(now), now)
	for range 100 {
		m.note("s", dispatch.VersionFilter{Except: "v2"}, dispatch.Answered, 50*time.Millisecond)
	}
	for range leastBad / 2 {
		m.note("s", dispatch.VersionFilter{Only: "v2"}, dispatch.Failed, 50*time.Millisecond)
		m.note("s", dispatch.VersionFilter{Only: "v2"}, dispatch.Answered, time.Second) // many times slower
	}
	for range 100 {
		is.Equal(m.version("s", "r"), dispatch.VersionFilter{Except: "v2"})
	}
	is.Equal(m.due(now), []due{{"s", "v2", catalog.Reverted, 0}})
	view := movingView(now)
	view.MoveStatuses["s"] = catalog.MoveStatus{To: "v2", State: catalog.Reverted, Revision: 9}
	m.setView(view, now)
	is.Equal(len(m.due(now)), 0)
	delete(view.Moves, "s")
	m.setView(view, now)
	is.Equal(m.version("s", "r"), dispatch.VersionFilter{Except: "v2"}) // also when the order is gone
}

func TestEvidenceOfPeersCounts(t *testing.T) {
	is := is.New(t)
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(time.Now()), time.Now())
	m.merge("edge-2", []*zinniaquayv1.MoveEvidence{{Order: 5, Answers: 10, Bad: 10}, {Order: 4, Answers: 99, Bad: 99}})
	is.Equal(m.version("s", "r"), dispatch.VersionFilter{Except: "v2"})
}

func TestASoundVersionIsCompletedBeforeItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMoves("edge-1", 0.1)
	m.setView(movingView(now), now)
	is.Equal(m.due(now), []due{{"s", "v2", catalog.InProgress, 0}})
	for range leastTrial {
		m.note("s", dispatch.VersionFilter{Only: "v2"}, dispatch.Answered, 50*time.Millisecond)
	}
	is.Equal(m.due(now.Add(5 * time.Second))[0].state, catalog.InProgress)
	is.Equal(m.due(now.Add(11 * time.Second))[0].state, catalog.Completed)
	view := movingView(now)
	view.MoveStatuses["s"] = catalog.MoveStatus{To: "v2", State: catalog.Completed, Revision: 9}
	m.setView(view, now)
	is.Equal(m.version("s", "r"), dispatch.VersionFilter{Only: "v2"})
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
				r := newRetryBudgets(Bounds{RetryRatio: ratio, RetrySlack: slack})
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

// The same holds while members know of others that have gone, or do not know of
// some that came, and while some start anew.
func TestBudgetsStayWithinTheBoundUnderDifferingViews(t *testing.T) {
	const ratio, slack = 0.2, 54.0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(fewestMembers, 60).Draw(t, "members")
		var fleet []*retryBudgets
		for range members {
			r := newRetryBudgets(Bounds{RetryRatio: ratio, RetrySlack: slack})
			r.setMembers(rapid.IntRange((4*members+4)/5, 2*members).Draw(t, "known"))
			fleet = append(fleet, r)
		}
		requests, sends := 0, 0
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			r := fleet[rapid.IntRange(0, members-1).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.request("s")
				requests++
			case 1:
				r.setMembers(rapid.IntRange((4*members+4)/5, 2*members).Draw(t, "known"))
			default:
				if r.take("s") {
					sends++
				}
			}
			if float64(sends) > ratio*float64(requests)+slack {
				t.Fatalf("%d second sends for %d requests", sends, requests)
			}
		}
	})
}

// statusStore is the operator's store as far as it holds the status of one move.
type statusStore struct {
	revision int64
	status   catalog.MoveStatus
	history  []catalog.MoveState
}

// commit writes a status over another one, as the store does.
func (s *statusStore) commit(d due) {
	if s.status.Revision != d.over {
		return
	}
	s.revision++
	s.status = catalog.MoveStatus{To: d.to, State: d.state, Revision: s.revision}
	s.history = append(s.history, d.state)
}

// However late processes see each other's writes and whatever each makes of the new
// version, a move is told to be in progress once at most and then ends once, for
// good.
func TestOneProcessTellsTheOperatorOfAMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		store := &statusStore{revision: 5}
		processes := make([]*moves, rapid.IntRange(1, 6).Draw(t, "processes"))
		decided := make([][]due, len(processes))
		for i := range processes {
			processes[i] = newMoves("edge", 0.1)
			processes[i].setView(movingView(now), now)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
			switch m := processes[i]; rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // hears of the newest status
				view := movingView(now)
				if store.status.Revision > 0 {
					view.MoveStatuses["s"] = store.status
				}
				m.setView(view, now)
			case 1: // judges by what it has seen, some of it bad
				for range leastTrial {
					outcome := dispatch.Answered
					if rapid.IntRange(0, 4).Draw(t, "outcome") == 0 {
						outcome = dispatch.Failed
					}
					m.note("s", dispatch.VersionFilter{Only: "v2"}, outcome, time.Millisecond)
				}
			case 2:
				decided[i] = m.due(now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "s")) * time.Second))
			default:
				for _, d := range decided[i] {
					store.commit(d)
				}
				decided[i] = nil
			}
		}
		for i, state := range store.history {
			if state != catalog.InProgress && i < len(store.history)-1 || state == catalog.InProgress && i > 0 {
				t.Fatalf("the operator was told %v", store.history)
			}
		}
	})
}
