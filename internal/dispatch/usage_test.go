package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testWindow = 4 * time.Second

// An account that only peers serve has its part in the shares, or a router with
// one account of its own takes the whole capacity for that account's share.
func TestSharesCountAccountsThatOnlyPeersServe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := newUsage(testWindow)
	u.ask("own", 1000, now)
	u.get("own", 900, now)
	reported := make([]AccountReport, 9)
	for i := range reported {
		reported[i] = AccountReport{Account: uint32(i), Requested: 1000, Received: 100}
	}
	u.merge("peer", reported)
	u.share(1000/u.window.Seconds(), now)
	is.True(u.account("own").ratio > 8.9 && u.account("own").ratio < 9.1) // 900 beside a tenth of 1000
	u.forget("peer")
	u.share(1000/u.window.Seconds(), now)
	is.Equal(u.account("own").ratio, 0.0) // alone within the capacity
}

func TestSmallAccountsAreWithinTheirShareHoweverMuchOthersAsk(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := newUsage(testWindow)
	u.ask("flood", 100000, now)
	u.get("flood", 700, now)
	u.ask("village", 100, now)
	u.get("village", 100, now)
	u.share(1000/u.window.Seconds(), now)
	is.Equal(u.account("village").ratio, 0.0)
	is.True(u.account("flood").ratio < 1) // 900 are left for it
	u.get("flood", 1100, now)
	u.share(1000/u.window.Seconds(), now)
	is.True(u.account("flood").ratio > 1.9)
}

func TestUsageFadesAndIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := newUsage(testWindow)
	u.ask("a", 1000, now)
	later := now.Add(testWindow / 2)
	asked, _ := u.account("a").totals(later, u.window)
	is.True(asked > 360 && asked < 375) // 1000 / e
	u.share(0, now.Add(time.Minute))
	is.Equal(len(u.accounts), 0)
}

// Where hosts that carry little slow one flooding account down, another does not
// take all the spare capacity that it leaves.
func TestAnAccountFarOverItsShareWaitsForOthersThatCompete(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(4, 1))
	capacity := 290000 * d.usage.window.Seconds()
	for _, account := range []string{"slow", "fast"} {
		d.usage.ask(account, 10*capacity, now)
	}
	d.usage.get("slow", 0.7*capacity, now) // 1.4 times its share
	d.usage.get("fast", 2.4*capacity, now) // 4.8 times
	for _, target := range d.targets {
		target.own.Running = target.Slots / 8
	}
	is.True(d.Enqueue(prompt(d, "fast", 1, 100, 100, now), now))
	is.Equal(len(d.Decide(now)), 0)
	is.Equal(one(t, d, prompt(d, "slow", 2, 100, 100, now), now).Action, Send)
}
