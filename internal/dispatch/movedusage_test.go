package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusing an account where its callers have come for what it received elsewhere.
func TestUsageLeftBehindByCallersThatMovedDecays(t *testing.T) {
	is := is.New(t)
	const size, perSecond = 1000, 100
	u := newUsage(testWindow)
	start := time.Unix(1000, 0)
	steady := size * perSecond * u.timeConstant.Seconds()
	u.merge(usageSource{router: "left"}, []AccountReport{{AccountHash("a"), steady, steady, 1}}, start)
	now := start
	for at := time.Duration(0); at <= 3*time.Second; at += shareInterval {
		now = start.Add(at)
		for range int(perSecond * shareInterval.Seconds()) {
			u.addRequested(u.account("a"), size, now)
		}
		u.computeShares(1, now)
	}
	_, received := u.account("a").totals(now, u.timeConstant)
	is.True(received < 0.6*steady) // exp(-3 s / 2 s) is left if all callers have moved, and 0.78 of them show by now
	u.merge(usageSource{router: "left"}, []AccountReport{{AccountHash("a"), steady, steady, 1}}, now)
	_, received = u.account("a").totals(now, u.timeConstant)
	is.True(received > 0.95*steady) // the report is news
}

// Guards against callers that move between few routers and look like a rise at all of them, so
// that their account is refused as one over its share.
func TestCallersThatMoveBackAreNotTakenForARise(t *testing.T) {
	is := is.New(t)
	const size, peers = 1000, 10
	u, now := newUsage(testWindow), time.Unix(1000, 0)
	u.routers, u.zoneRouters = peers+1, peers+1
	for n := range peers {
		var reports []AccountReport
		if n < 2 { // the account's callers reach these and this router
			reports = []AccountReport{{AccountHash("a"), 50 * size, 50 * size, 1}}
		}
		u.merge(usageSource{router: fmt.Sprintf("peer-%d", n)}, reports, now)
	}
	use := func(requests int) {
		for range requests {
			u.addRequested(u.account("a"), size, now)
			u.addReceived("a", size, now)
		}
		u.computeShares(1, now)
	}
	use(20) // what is left of their last visit
	now = now.Add(time.Second)
	use(100)
	_, received := u.account("a").totals(now, u.timeConstant)
	is.True(received <= (2*50+20+100)*size) // what all three gave
}
