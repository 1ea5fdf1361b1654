package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usage is what accounts asked for and got of late, in tokens, over the whole
// fleet as far as peers have told. Both fade with the window in which shares
// are counted, so that nothing is saved up and nothing is held against an
// account for long.
type usage struct {
	window time.Duration
	// accounts holds all accounts of the fleet that were active of late, by the
	// hash of their names, by which peers report them too.
	accounts map[uint32]*accountUsage
	// least is the least ratio of all accounts that are over their share and ask
	// for more; 0 if there is none.
	least float64
}

// accountUsage is the state of one account.
type accountUsage struct {
	asked, got fading
	// others is what peers reported, by peer.
	others map[string]peerUsage
	// ratio is what the account got beside its share; over 1 it took capacity
	// that others did not ask for.
	ratio float64
}

// peerUsage is what a peer reported of an account.
type peerUsage struct{ asked, got float64 }

// fading is a sum that fades exponentially.
type fading struct {
	value float64
	at    time.Time
}

// read returns the sum at a moment.
func (f *fading) read(now time.Time, window time.Duration) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/window.Seconds())
}

// add adds to the sum.
func (f *fading) add(amount float64, now time.Time, window time.Duration) {
	f.value, f.at = f.read(now, window)+amount, now
}

// newUsage returns usage without accounts. The sums fade at half the window, so
// that what they hold is as old on average as a window's content.
func newUsage(window time.Duration) *usage {
	return &usage{window: window / 2, accounts: make(map[uint32]*accountUsage)}
}

// account returns the usage of an account.
func (u *usage) account(name string) *accountUsage { return u.byHash(uint32(hashName(name))) }

func (u *usage) byHash(hash uint32) *accountUsage {
	a := u.accounts[hash]
	if a == nil {
		a = &accountUsage{others: make(map[string]peerUsage)}
		u.accounts[hash] = a
	}
	return a
}

func (u *usage) ask(name string, tokens float64, now time.Time) {
	u.account(name).asked.add(tokens, now, u.window)
}

func (u *usage) get(name string, tokens float64, now time.Time) {
	u.account(name).got.add(tokens, now, u.window)
}

// merge takes over what a peer reported of all accounts.
func (u *usage) merge(peer string, reported []AccountReport) {
	u.forget(peer)
	for _, r := range reported {
		u.byHash(r.Account).others[peer] = peerUsage{r.Requested, r.Received}
	}
}

// forget drops what a peer reported.
func (u *usage) forget(peer string) {
	for _, a := range u.accounts {
		delete(a.others, peer)
	}
}

// totals returns what an account asked for and got over the fleet.
func (a *accountUsage) totals(now time.Time, window time.Duration) (asked, got float64) {
	asked, got = a.asked.read(now, window), a.got.read(now, window)
	for _, p := range a.others {
		asked += p.asked
		got += p.got
	}
	return asked, got
}

// share computes the accounts' max-min shares of the capacity in tokens a
// second, or of what all got together if no capacity is stated.
func (u *usage) share(capacity float64, now time.Time) {
	type demand struct {
		account    *accountUsage
		asked, got float64
	}
	demands := make([]demand, 0, len(u.accounts))
	total := 0.0
	for hash, a := range u.accounts {
		asked, got := a.totals(now, u.window)
		a.ratio = 0
		if asked < 1 {
			if len(a.others) == 0 {
				delete(u.accounts, hash)
			}
			continue
		}
		demands = append(demands, demand{a, asked, got})
		total += got
	}
	if capacity > 0 {
		total = capacity * u.window.Seconds()
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.asked, b.asked) })
	left := total
	u.least = 0
	for i, d := range demands {
		share := left / float64(len(demands)-i)
		if d.asked > share {
			d.account.ratio = d.got / math.Max(share, 1)
			if d.account.ratio > shareSlack && d.asked > d.got && (u.least == 0 || d.account.ratio < u.least) {
				u.least = d.account.ratio
			}
		}
		left -= math.Min(d.asked, share)
	}
}
