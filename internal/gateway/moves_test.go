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

// viewWithMove returns a view in which a service moves to version v2.
func viewWithMove(firstSeen time.Time) *catalog.View {
	return &catalog.View{
		Targets: map[string]*catalog.Target{
			"a": {ID: "a", Service: "s", Version: "v1"}, "b": {ID: "b", Service: "s", Version: "v2"},
		},
		Moves:        map[string]*catalog.MoveOrder{"s": {Service: "s", To: "v2", Duration: 12 * time.Second, FirstSeen: firstSeen, Revision: 5}},
		MoveStatuses: map[string]catalog.MoveStatus{},
		Members:      map[string]catalog.Member{"edge-1": {}},
	}
}

func TestCanaryVersionGetsSmallShare(t *testing.T) {
	is := is.New(t)
	m := newMoveTracker("edge-1", 0.1)
	m.setView(viewWithMove(time.Now()), time.Now())
	canaryRequests := 0
	for range 1000 {
		if m.versionFilter("s", "r").Only == "v2" {
			canaryRequests++
		}
	}
	is.True(canaryRequests > 40 && canaryRequests <= 100)
	is.Equal(m.versionFilter("other", "r"), dispatch.VersionFilter{})
}

func TestBadVersionIsExcludedAndReverted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMoveTracker("edge-1", 0.1)
	m.setView(viewWithMove(now), now)
	for range 100 {
		m.recordOutcome("s", dispatch.VersionFilter{Except: "v2"}, dispatch.Answered, 50*time.Millisecond)
	}
	for range minBadResponses / 2 {
		m.recordOutcome("s", dispatch.VersionFilter{Only: "v2"}, dispatch.Failed, 50*time.Millisecond)
		m.recordOutcome("s", dispatch.VersionFilter{Only: "v2"}, dispatch.Answered, time.Second) // a slow response counts as bad
	}
	for range 100 {
		is.Equal(m.versionFilter("s", "r"), dispatch.VersionFilter{Except: "v2"})
	}
	is.Equal(m.pendingStatuses(now), []pendingStatus{{"s", "v2", catalog.Reverted, 0}})
	view := viewWithMove(now)
	view.MoveStatuses["s"] = catalog.MoveStatus{To: "v2", State: catalog.Reverted, Revision: 9}
	m.setView(view, now)
	is.Equal(len(m.pendingStatuses(now)), 0)
	delete(view.Moves, "s")
	m.setView(view, now)
	is.Equal(m.versionFilter("s", "r"), dispatch.VersionFilter{Except: "v2"}) // also after the order was removed
}

func TestPeerEvidenceCounts(t *testing.T) {
	is := is.New(t)
	m := newMoveTracker("edge-1", 0.1)
	m.setView(viewWithMove(time.Now()), time.Now())
	m.merge("edge-2", []*zinniaquayv1.MoveEvidence{{Order: 5, Answers: 10, Bad: 10}, {Order: 4, Answers: 99, Bad: 99}})
	is.Equal(m.versionFilter("s", "r"), dispatch.VersionFilter{Except: "v2"})
}

func TestHealthyVersionIsCompletedBeforeMoveDurationEnds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMoveTracker("edge-1", 0.1)
	m.setView(viewWithMove(now), now)
	is.Equal(m.pendingStatuses(now), []pendingStatus{{"s", "v2", catalog.InProgress, 0}})
	for range minCompleteResponses {
		m.recordOutcome("s", dispatch.VersionFilter{Only: "v2"}, dispatch.Answered, 50*time.Millisecond)
	}
	is.Equal(m.pendingStatuses(now.Add(5 * time.Second))[0].state, catalog.InProgress)
	is.Equal(m.pendingStatuses(now.Add(11 * time.Second))[0].state, catalog.Completed)
	view := viewWithMove(now)
	view.MoveStatuses["s"] = catalog.MoveStatus{To: "v2", State: catalog.Completed, Revision: 9}
	m.setView(view, now)
	is.Equal(m.versionFilter("s", "r"), dispatch.VersionFilter{Only: "v2"})
}

// The retry budgets of all members together stay within the fleet's bound, for
// any fleet size.
func TestFleetRetriesStayWithinBound(t *testing.T) {
	is := is.New(t)
	const ratio, slack = 0.2, 54.0
	for _, members := range []int{1, 4, 5, 31, 370} {
		for _, requests := range []int{1, 5, 400} {
			retries := 0
			for range members {
				r := newRetryBudgets(Bounds{RetryRatio: ratio, RetrySlack: slack})
				r.setMemberCount(members)
				for range requests {
					r.recordRequest("s")
					for r.takeRetry("s") {
						retries++
					}
				}
			}
			is.True(float64(retries) <= ratio*float64(members*requests)+slack)
		}
	}
}

// The bound also holds while members have outdated views of the fleet: some
// that left are still in them, or some that joined are missing.
func TestFleetRetriesStayWithinBoundUnderDifferingViews(t *testing.T) {
	const ratio, slack = 0.2, 54.0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(minMembers, 60).Draw(t, "members")
		var fleet []*retryBudgets
		for range members {
			r := newRetryBudgets(Bounds{RetryRatio: ratio, RetrySlack: slack})
			r.setMemberCount(rapid.IntRange((4*members+4)/5, 2*members).Draw(t, "known"))
			fleet = append(fleet, r)
		}
		requests, retries := 0, 0
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			r := fleet[rapid.IntRange(0, members-1).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.recordRequest("s")
				requests++
			case 1:
				r.setMemberCount(rapid.IntRange((4*members+4)/5, 2*members).Draw(t, "known"))
			default:
				if r.takeRetry("s") {
					retries++
				}
			}
			if float64(retries) > ratio*float64(requests)+slack {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// statusStore stands in for the operator's store. It holds the status of one
// move.
type statusStore struct {
	revision int64
	status   catalog.MoveStatus
	history  []catalog.MoveState
}

// commit replaces the status if its revision is the expected one, as the store
// does.
func (s *statusStore) commit(d pendingStatus) {
	if s.status.Revision != d.expectedRevision {
		return
	}
	s.revision++
	s.status = catalog.MoveStatus{To: d.to, State: d.state, Revision: s.revision}
	s.history = append(s.history, d.state)
}

// Processes receive each other's writes late and judge the new version
// differently. Still, the status of a move is written as InProgress at most once
// and reaches one final state.
func TestMoveStatusStartsOnceAndEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		store := &statusStore{revision: 5}
		processes := make([]*moveTracker, rapid.IntRange(1, 6).Draw(t, "processes"))
		pending := make([][]pendingStatus, len(processes))
		for i := range processes {
			processes[i] = newMoveTracker("edge", 0.1)
			processes[i].setView(viewWithMove(now), now)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
			switch m := processes[i]; rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // receives the newest status
				view := viewWithMove(now)
				if store.status.Revision > 0 {
					view.MoveStatuses["s"] = store.status
				}
				m.setView(view, now)
			case 1: // receives responses, some of them bad
				for range minCompleteResponses {
					outcome := dispatch.Answered
					if rapid.IntRange(0, 4).Draw(t, "outcome") == 0 {
						outcome = dispatch.Failed
					}
					m.recordOutcome("s", dispatch.VersionFilter{Only: "v2"}, outcome, time.Millisecond)
				}
			case 2:
				pending[i] = m.pendingStatuses(now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "s")) * time.Second))
			default:
				for _, d := range pending[i] {
					store.commit(d)
				}
				pending[i] = nil
			}
		}
		for i, state := range store.history {
			if state != catalog.InProgress && i < len(store.history)-1 || state == catalog.InProgress && i > 0 {
				t.Fatalf("statuses written: %v", store.history)
			}
		}
	})
}
