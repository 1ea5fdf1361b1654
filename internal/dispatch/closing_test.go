package dispatch

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// closingStart is when the tests of closings begin.
var closingStart = time.UnixMilli(1_700_000_000_000)

func closingAt(ms int) time.Time { return closingStart.Add(time.Duration(ms) * time.Millisecond) }

// closingOf returns a closing of some ms by a target, for a request that was sent at a moment.
func closingOf(t *catalog.Target, sentMS, forMS int) Closing {
	return Closing{Target: t.ID, Addr: t.Addr, StartedUnixMilli: t.StartedUnixMilli, SentAt: closingAt(sentMS), For: time.Duration(forMS) * time.Millisecond}
}

// Guards against requests for closed targets that are sent, or wait although no target opens in time.
func TestRequestsForClosedTargetsAreRefusedAtOnceWithTheTimeUntilTheyOpen(t *testing.T) {
	is := is.New(t)
	fleet, target := limitedFleet(1)
	d := fleet[0]
	is.True(d.CloseTarget(closingOf(target, 0, 1500), closingAt(0)))
	decision, ok := send(d, closingAt(100))
	is.True(ok)
	is.Equal(decision.Action, RefuseLate)
	is.Equal(decision.RetryAfter, 1400*time.Millisecond)
	_, ok = send(d, closingAt(1450))
	is.True(!ok) // waits for what comes in time
	decision, ok = send(d, closingAt(100).Add(decision.RetryAfter))
	is.True(ok && decision.Action == Send) // the Retry-After was true

	// Waiting requests hear of a closing, and callers are not told of days.
	d.ObserveLimit(target.ID, 10, true, closingAt(1500), closingAt(1500))
	waiting := &Request{Sequence: d.NextSequence(), Account: "a", Service: "model", Arrived: closingAt(1500), Objective: time.Second, Deadline: closingAt(9000)}
	send(d, closingAt(1500))
	is.True(d.Enqueue(waiting, closingAt(1500)))
	is.Equal(len(d.Decide(closingAt(1501))), 0)
	d.CloseTarget(closingOf(target, 1400, 864_000_000), closingAt(1502))
	decisions := d.Decide(closingAt(1503))
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Action, RefuseLate)
	is.Equal(decisions[0].RetryAfter, maxRetryAfter)
}

func TestLatestEndOfAClosingCounts(t *testing.T) {
	is := is.New(t)
	fleet, target := limitedFleet(1)
	d := fleet[0]
	is.True(d.CloseTarget(closingOf(target, 0, 2000), closingAt(0)))
	is.True(!d.CloseTarget(closingOf(target, 0, 500), closingAt(100))) // ends sooner
	is.Equal(d.ClosedFor(target.ID, closingAt(100)), 1900*time.Millisecond)
	is.True(!d.CloseTarget(closingOf(target, 0, 2500), closingAt(200))) // ends later
	is.Equal(d.ClosedFor(target.ID, closingAt(200)), 2500*time.Millisecond)
	is.True(!d.CloseTarget(closingOf(target, 0, 0), closingAt(300))) // no time
	is.Equal(d.ClosedFor(target.ID, closingAt(300)), 2400*time.Millisecond)
	is.Equal(len(d.TakeReopened(closingAt(2699))), 0)
	is.Equal(d.TakeReopened(closingAt(2700)), []string{target.ID})
	is.Equal(len(d.TakeReopened(closingAt(2701))), 0)
	is.True(d.CloseTarget(closingOf(target, 2700, 100), closingAt(2750)))
	is.Equal(d.ClosedFor("unknown", closingAt(2750)), time.Duration(0))
}

// Guards against routers that stop to use a target for what it said to another one.
func TestClosingConcernsOneRouterAlone(t *testing.T) {
	is := is.New(t)
	fleet, target := limitedFleet(2)
	fleet[0].CloseTarget(closingOf(target, 0, 5000), closingAt(0))
	fleet[1].Merge("edge-0", fleet[0].Report(true, closingAt(10)), closingAt(10))
	is.Equal(fleet[1].ClosedFor(target.ID, closingAt(20)), time.Duration(0))
	decision, ok := send(fleet[1], closingAt(20))
	is.True(ok && decision.Action == Send)
}

// Guards against closings that outlast a restart of their target, or are lost while the view lags behind it or misses it.
func TestClosingBelongsToOneStartOfATarget(t *testing.T) {
	is := is.New(t)
	fleet, first := limitedFleet(1)
	d := fleet[0]
	first.StartedUnixMilli = closingAt(-60_000).UnixMilli()
	without := func(targets ...*catalog.Target) *catalog.View {
		view := *d.view
		view.Targets = maps.Clone(view.Targets)
		clear(view.Targets)
		for _, t := range targets {
			view.Targets[t.ID] = t
		}
		return &view
	}
	restarted := func(startMS int, addr string) *catalog.Target {
		t := *first
		t.StartedUnixMilli, t.Addr = closingAt(startMS).UnixMilli(), addr
		return &t
	}
	d.CloseTarget(closingOf(first, 0, 9000), closingAt(10))
	d.SetView(without())
	is.Equal(len(d.TakeReopened(closingAt(50))), 0)
	is.Equal(d.ClosedFor(first.ID, closingAt(50)), 8960*time.Millisecond) // it may work without an entry
	d.SetView(without(first))                                             // its entry was missing for a while
	is.Equal(d.ClosedFor(first.ID, closingAt(100)), 8910*time.Millisecond)

	second := restarted(500, first.Addr)
	d.SetView(without(second))
	is.Equal(d.ClosedFor(first.ID, closingAt(600)), time.Duration(0))
	is.Equal(d.TakeReopened(closingAt(600)), []string{first.ID})
	is.True(!d.CloseTarget(closingOf(first, 400, 9000), closingAt(700))) // a late response of the first start
	is.Equal(d.ClosedFor(first.ID, closingAt(700)), time.Duration(0))

	is.True(d.CloseTarget(closingOf(second, 1200, 9000), closingAt(1210)))
	d.SetView(without(restarted(1000, first.Addr))) // the start that the view shows now stated it
	is.Equal(d.ClosedFor(first.ID, closingAt(1300)), 8910*time.Millisecond)
	d.SetView(without(restarted(1000, "elsewhere")))
	is.Equal(d.ClosedFor(first.ID, closingAt(1400)), time.Duration(0))

	// The target's clock is ahead.
	ahead := restarted(5000, first.Addr)
	d.SetView(without(ahead))
	is.True(d.CloseTarget(closingOf(ahead, 2000, 9000), closingAt(2010)))
	is.Equal(d.ClosedFor(first.ID, closingAt(2010)), 9*time.Second)
}

// Guards against requests that a target turned away and that wait although no other can serve them.
func TestRequestsThatAllTargetsTurnedAwayAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	fleet, target := limitedFleet(1)
	d := fleet[0]
	r := &Request{Sequence: d.NextSequence(), Account: "a", Service: "model", Arrived: closingAt(0), Objective: time.Second, Deadline: closingAt(9000)}
	is.True(d.Enqueue(r, closingAt(0)))
	is.Equal(d.Decide(closingAt(0))[0].Action, Send)
	d.End(r.Sequence, NotRun, closingAt(1))
	d.CloseTarget(closingOf(target, 0, 1200), closingAt(1))
	is.Equal(d.RetryAfterTurnedAway("model", VersionFilter{}, closingAt(1)), 1200*time.Millisecond)
	r.Exclude = map[string]bool{target.ID: true}
	is.True(d.Enqueue(r, closingAt(2)))
	decisions := d.Decide(closingAt(2))
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Action, RefuseNoTarget)
	is.Equal(decisions[0].RetryAfter, 1199*time.Millisecond)
}

// Guards against paths that send to a closed target: resumed streams, cold targets, retries after the loss of a connection, named limits.
func TestNothingIsSentToAClosedTarget(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(d *Dispatcher, t *catalog.Target, r *Request)
	}{
		{"new request", func(*Dispatcher, *catalog.Target, *Request) {}},
		{"resumed stream", func(_ *Dispatcher, _ *catalog.Target, r *Request) { r.Resume = true }},
		{"cold target", func(_ *Dispatcher, t *catalog.Target, _ *Request) { t.ColdUntil = closingAt(60_000) }},
		{"named limit", func(d *Dispatcher, t *catalog.Target, _ *Request) {
			d.ObserveLimit(t.ID, 100, true, closingAt(0), closingAt(0))
		}},
		{"prompt", func(_ *Dispatcher, _ *catalog.Target, r *Request) { r.TokensIn, r.TokensOut = 1000, 50 }},
		{"highest priority, long wait", func(_ *Dispatcher, _ *catalog.Target, r *Request) { r.Objective = time.Minute }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet, target := limitedFleet(1)
			d := fleet[0]
			r := &Request{Sequence: d.NextSequence(), Account: "a", Service: "model", Arrived: closingAt(1), Objective: time.Second, Deadline: closingAt(9000)}
			c.prepare(d, target, r)
			d.CloseTarget(closingOf(target, 0, 3000), closingAt(0))
			is.True(d.Enqueue(r, closingAt(1)))
			sentAt := -1
			for at := 1; at < 8000 && d.Queued() > 0; at += 10 {
				for _, decision := range d.Decide(closingAt(at)) {
					if decision.Action == Send {
						sentAt = at
					}
				}
			}
			is.True(sentAt < 0 || sentAt >= 3000)
			if r.Resume || r.Objective > time.Second {
				is.True(sentAt >= 3000 && sentAt < 3020) // it waited for the target
			}
		})
	}
}

func TestOtherTargetsServeWhileOneIsClosed(t *testing.T) {
	is := is.New(t)
	d := testDispatcher("edge-0", testView(2, 1))
	closed := d.targets["t-0"]
	is.True(d.CloseTarget(Closing{Target: "t-0", Addr: closed.Addr, SentAt: closingAt(0), For: time.Minute}, closingAt(0)))
	for i := range 20 {
		decision := decideOne(t, d, promptRequest(d, "a", uint64(i), 500, 50, closingAt(i)), closingAt(i))
		is.Equal(decision.Action, Send)
		is.Equal(decision.Target, "t-1")
		d.End(decision.Request.Sequence, Answered, closingAt(i))
	}
	is.Equal(d.RetryAfterTurnedAway(testService, VersionFilter{}, closingAt(20)), minRetryAfter)
	d.CloseTarget(Closing{Target: "t-1", Addr: d.targets["t-1"].Addr, SentAt: closingAt(20), For: time.Second}, closingAt(20))
	is.Equal(d.RetryAfterTurnedAway(testService, VersionFilter{}, closingAt(20)), time.Second)
}

// Guards against requests that count as received, or speak against a target, although they weren't sent.
func TestRequestsThatWereNotSentLeaveNoTrace(t *testing.T) {
	is := is.New(t)
	d := testDispatcher("edge-0", testView(1, 1))
	for range 20 {
		decision := decideOne(t, d, promptRequest(d, "a", 1, 500, 50, closingAt(0)), closingAt(0))
		is.Equal(decision.Action, Send)
		d.End(decision.Request.Sequence, NotSent, closingAt(0))
	}
	is.Equal(d.targets["t-0"].health, health{})
	is.Equal(d.targets["t-0"].ownLoad, Load{})
	for _, a := range d.UsageReport(closingAt(0)).Accounts {
		is.Equal(a.Received, 0.0)
	}
}

// Guards against callers that stay away until a closed target opens although another may be back before that.
func TestCallersComeBackSoonIfAnotherTargetMayServeThem(t *testing.T) {
	is := is.New(t)
	d := testDispatcher("edge-0", testView(2, 1))
	closed := d.targets["t-0"]
	d.CloseTarget(Closing{Target: "t-0", Addr: closed.Addr, SentAt: closingAt(0), For: time.Minute}, closingAt(0))
	decision := decideOne(t, d, promptRequest(d, "a", 1, 500, 50, closingAt(0)), closingAt(0))
	is.Equal(decision.Target, "t-1")
	d.End(decision.Request.Sequence, Unreachable, closingAt(1))
	decision = decideOne(t, d, promptRequest(d, "a", 1, 500, 50, closingAt(2)), closingAt(2))
	is.Equal(decision.Action, RefuseLate)
	is.Equal(decision.RetryAfter, noTargetRetryAfter)
	is.Equal(d.RetryAfterTurnedAway(testService, VersionFilter{}, closingAt(2)), noTargetRetryAfter)
	d.targets["t-1"].Leaving = true
	decision = decideOne(t, d, promptRequest(d, "a", 1, 500, 50, closingAt(3)), closingAt(3))
	is.Equal(decision.RetryAfter, maxRetryAfter)
}
