package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a late or lost report for an account that received nothing at a peer.
func TestUsageOfAPeerOutlastsLostReports(t *testing.T) {
	is := is.New(t)
	const withoutReport = 9 * time.Second
	start := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(1, 2))
	full := Report{HasAccounts: true, Loads: map[uint32]Load{}, Accounts: []AccountReport{{AccountHash("a"), 5000, 4000, 1}}}
	d.Merge("edge-1", full, start)
	for at := time.Duration(0); at < withoutReport; at += 100 * time.Millisecond {
		d.ExpirePeers(start.Add(at))
	}
	_, received := d.usage.account("a").totals(start.Add(withoutReport), d.usage.timeConstant)
	is.Equal(received, 4000.0)
	// Reports without accounts say nothing about them, so they don't count as news.
	d.Merge("edge-1", Report{Loads: map[uint32]Load{}}, start.Add(usageTimeout))
	d.ExpirePeers(start.Add(usageTimeout + time.Second))
	is.Equal(len(d.usage.account("a").byPeer), 0)
}

// Guards against requests that never reached a target and count as received by their account.
func TestRequestsThatWereNotSentAreGivenBack(t *testing.T) {
	for outcome, givenBack := range map[Outcome]bool{NotSent: true, NotRun: true, Unreachable: true, Abandoned: false, Answered: false, Failed: false} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := testDispatcher("edge-0", testView(1, 1))
			r := promptRequest(d, "a", 1, 500, 500, now)
			is.Equal(decideOne(t, d, r, now).Action, Send)
			later := now.Add(1800 * time.Millisecond)
			d.End(r.Sequence, outcome, later)
			received := d.usage.account("a").received.valueAt(later, d.usage.timeConstant)
			is.Equal(math.Abs(received) < 1e-6, givenBack)
		})
	}
}

// Guards against shares that leave out requests refused before they are queued or read.
func TestRequestsRefusedUnqueuedCountAsRequested(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := New(Config{Self: "edge-0", Zone: "a", ShareWindow: testWindow, MaxQueued: 0})
	d.SetView(testView(1, 1))
	r := promptRequest(d, "a", 1, 500, 500, now)
	is.True(!d.Enqueue(r, now))
	d.RecordUnread("a", RequestSize(1000, 300), now)
	is.Equal(d.usage.account("a").requested.valueAt(now, d.usage.timeConstant), 2*r.Size())
}
