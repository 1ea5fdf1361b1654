package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against leaving an account with nothing because of what it received while there was capacity for all.
func TestAccountThatUsedSpareCapacityIsNotLeftWithNothing(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	const (
		requests = 10_000
		least    = 1.3  // the ratio of the least served competing account
		demand   = 20.0 // what the account requests, in shares
		allowed  = 2.0  // the ratio of two accounts that the operator's rule allows
		lead     = 1.5  // the ratio at which others settle
		before   = 3.0  // what it received while there was capacity, in shares
		minimum  = lead * least / allowed / demand
		busy     = 0.25 // the part of the slots that run requests
		window   = float64(testWindow/time.Second) / 2
		capacity = 290_000 * window
	)
	d := testDispatcher("edge-0", testView(1, 1))
	d.usage.addRequested(d.usage.account("least"), 10*capacity, now)
	d.usage.addReceived("least", least*capacity/2, now)
	sent := 0
	for range requests {
		for _, target := range d.targets {
			target.ownLoad = Load{Running: busy * float64(target.Slots)}
			target.estimate.round = 0
		}
		a := d.usage.account("over")
		a.requested, a.received = decayingSum{demand * capacity / 2, now}, decayingSum{before * capacity / 2, now}
		d.usage.computeShares(290_000, now)
		r := promptRequest(d, "over", 1, 100, 100, now)
		is.True(d.Enqueue(r, now))
		for _, decision := range d.Decide(now) {
			if decision.Action == Send {
				sent++
				d.End(r.Sequence, Answered, now)
			}
		}
		d.Withdraw(r.Sequence)
	}
	t.Logf("%d of %d requests sent, %.0f at least", sent, requests, minimum*requests)
	is.True(float64(sent) >= minimum*requests)
	is.True(float64(sent) <= lead*least/demand*requests*1.3) // and no more than the others get, but for chance
}
