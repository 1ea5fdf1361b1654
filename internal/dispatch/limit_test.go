package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// limitedFleet returns routers that know each other, before one target.
func limitedFleet(count int) (fleet []*Dispatcher, target *catalog.Target) {
	target = &catalog.Target{ID: "t-1", Service: "model", Addr: "t-1", Slots: 64}
	view := &catalog.View{
		Config:  &catalog.Configuration{Services: map[string]*catalog.Service{"model": {Name: "model"}}},
		Targets: map[string]*catalog.Target{target.ID: target}, Members: make(map[string]catalog.Member),
	}
	for i := range count {
		name := fmt.Sprint("edge-", i)
		view.Members[name] = catalog.Member{Name: name}
		fleet = append(fleet, New(Config{Self: name, ShareWindow: 4 * time.Second, MaxQueued: 100}))
	}
	for _, d := range fleet {
		d.SetView(view)
	}
	return fleet, target
}

// send queues a request and reports what is decided on it; ok is false if it waits.
func send(d *Dispatcher, now time.Time) (decision Decision, ok bool) {
	r := &Request{Sequence: d.NextSequence(), Account: "a", Service: "model", Arrived: now, Objective: time.Second, Deadline: now.Add(10 * time.Second)}
	d.Enqueue(r, now)
	for _, decision := range d.Decide(now) {
		if decision.Request == r {
			if decision.Action == Send {
				d.End(r.Sequence, Answered, now)
			}
			return decision, true
		}
	}
	d.Withdraw(r.Sequence)
	return Decision{}, false
}

// sentIn returns how many of the requests that come every 10 ms for a time are sent.
func sentIn(fleet []*Dispatcher, from time.Time, d time.Duration) int {
	n := 0
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		for _, router := range fleet {
			if decision, ok := send(router, from.Add(at)); ok && decision.Action == Send {
				n++
			}
		}
	}
	return n
}

func TestLimitIsSharedByTheFleet(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	for _, routers := range []int{1, 5, 31} {
		for _, perSecond := range []float64{0, 0.5, 3, 8, 40} {
			t.Run(fmt.Sprintf("%d routers, %g a second", routers, perSecond), func(t *testing.T) {
				is := is.New(t)
				fleet, target := limitedFleet(routers)
				for _, d := range fleet {
					is.True(d.ObserveLimit(target.ID, perSecond, true, start, start))
				}
				const span = 5
				// An idle router keeps one request at most, wherever its time began.
				n := sentIn(fleet, start.Add(time.Second), span*time.Second)
				is.True(float64(n) <= perSecond*span+max(1, perSecond))
				is.True(float64(n) >= 0.8*perSecond*span-1) // what is allowed is used
			})
		}
	}
}

func TestLimitIsLearnedFromPeersAndEnds(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_700_000_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	fleet, target := limitedFleet(2)
	first, second := fleet[0], fleet[1]
	limited := func(d *Dispatcher, now time.Time) bool {
		_, limited := d.targets[target.ID].limit.current(now)
		return limited
	}
	first.ObserveLimit(target.ID, 1, true, at(0), at(0))
	second.Merge("edge-0", first.Report(true, at(100)), at(100))
	is.True(limited(second, at(100)))
	is.True(!first.ObserveLimit(target.ID, 0, false, at(-50), at(50))) // sent before the limit was named
	is.True(limited(first, at(50)))
	is.True(second.ObserveLimit(target.ID, 0, false, at(200), at(300))) // the target names none any more
	is.True(!limited(second, at(300)))
	second.Merge("edge-0", first.Report(true, at(400)), at(400)) // older than what it heard itself
	is.True(!limited(second, at(400)))
	is.True(limited(first, at(400)))
	is.True(!limited(first, at(0).Add(limitMemory))) // not named for long
	is.Equal(len(first.Report(true, at(0).Add(limitReportAge)).Limits), 0)
}

func TestRequestsAreRefusedAtOnceWithTheTimeOfTheNextByTheLimit(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_700_000_000_000)
	fleet, target := limitedFleet(1)
	fleet[0].ObserveLimit(target.ID, 1, true, start, start)
	decision, ok := send(fleet[0], start)
	is.True(ok && decision.Action == Send)
	decision, ok = send(fleet[0], start.Add(100*time.Millisecond))
	is.True(ok)
	is.Equal(decision.Action, RefuseLate)
	next := start.Add(100 * time.Millisecond).Add(decision.RetryAfter)
	decision, ok = send(fleet[0], next.Add(time.Millisecond))
	is.True(ok && decision.Action == Send) // the Retry-After was true
	_, ok = send(fleet[0], next.Add(time.Millisecond).Add(1050*time.Millisecond))
	is.True(!ok) // waits for what comes in time
}
