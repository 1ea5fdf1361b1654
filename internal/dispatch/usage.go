package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// usage holds the tokens that accounts recently requested and received in the
// whole fleet, as far as peers have reported. Both decay exponentially, so that
// neither unused nor exceeded shares count for long.
type usage struct {
	timeConstant time.Duration
	// accounts holds all recently active accounts of the fleet by the hash of their
	// names, which also identifies them in peer reports.
	accounts map[uint32]*accountUsage
	// routers is the number of routers of the fleet, zoneRouters that of the own availability
	// zone, and zones the number of zones.
	routers, zoneRouters, zones int
	// reportedAt holds as of when each source last reported the usage of accounts.
	reportedAt map[usageSource]time.Time
	// minCompetingRatio is the lowest ratio of all accounts that requested more than their share
	// and more than they received; 0 if there is none. Hosts of low capacity keep some of them
	// below their share.
	minCompetingRatio float64
}

// usageSource is where reported usage comes from: a router of the own availability zone, or
// all routers of another one.
type usageSource struct {
	router string
	zone   uint32
}

// accountUsage is the state of one account.
type accountUsage struct {
	requested, received decayingSum
	// requestedBefore and receivedBefore are earlier values of these sums, and
	// meanSize the mean size of the account's requests at this router.
	requestedBefore, receivedBefore history
	meanSize                        float64
	// byPeer holds the usage that each source reported.
	byPeer map[usageSource]peerUsage
	// spread is the fraction of the peers that have the account; 1 if that can't be told.
	spread float64
	// share is the account's max-min share in tokens, or 0 if the account requested
	// nothing.
	share float64
	// ratio is the ratio of received tokens to the account's share, or 0 if the
	// account requested no more than its share. Above 1 the account used capacity
	// that others didn't request.
	ratio float64
	// demandRatio is the same for the tokens that the account requested.
	demandRatio float64
}

// peerUsage is the usage of an account that a source reported.
type peerUsage struct {
	requested, received float64
	routers             int
	reportedAt          time.Time
}

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	value float64
	at    time.Time
}

func (s *decayingSum) valueAt(now time.Time, timeConstant time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/timeConstant.Seconds())
}

func (s *decayingSum) add(amount float64, now time.Time, timeConstant time.Duration) {
	s.value, s.at = s.valueAt(now, timeConstant)+amount, now
}

// setMembers sets which routers there are, beside this one in its availability zone.
func (u *usage) setMembers(members map[string]catalog.Member, zone string) {
	zones := map[string]int{zone: 0}
	for _, m := range members {
		zones[m.Zone]++
	}
	u.routers, u.zoneRouters, u.zones = len(members), zones[zone], len(zones)
}

// newUsage returns usage without accounts. The time constant of the decay is
// half the window, so that the average age of the counted tokens is that of a
// sliding window.
func newUsage(window time.Duration) *usage {
	return &usage{timeConstant: window / 2, accounts: make(map[uint32]*accountUsage), reportedAt: make(map[usageSource]time.Time)}
}

// account returns the usage of an account.
func (u *usage) account(name string) *accountUsage { return u.byHash(AccountHash(name)) }

func (u *usage) byHash(hash uint32) *accountUsage {
	a := u.accounts[hash]
	if a == nil {
		a = &accountUsage{byPeer: make(map[usageSource]peerUsage)}
		u.accounts[hash] = a
	}
	return a
}

func (u *usage) addRequested(a *accountUsage, tokens float64, now time.Time) {
	a.requested.add(tokens, now, u.timeConstant)
	if a.meanSize == 0 {
		a.meanSize = tokens
	}
	a.meanSize += sizeSmoothing * (tokens - a.meanSize)
}

func (u *usage) addReceived(name string, tokens float64, now time.Time) {
	u.account(name).received.add(tokens, now, u.timeConstant)
}

// giveBack takes back tokens that an account was to receive at an earlier time.
func (u *usage) giveBack(name string, tokens float64, at, now time.Time) {
	left := decayingSum{tokens, at}
	u.addReceived(name, -left.valueAt(now, u.timeConstant), now)
}

// merge replaces the usage that a source reported as of a time, unless it is known as of a
// later one: the totals of a zone come from several routers.
func (u *usage) merge(source usageSource, reported []AccountReport, asOf time.Time) {
	if asOf.Before(u.reportedAt[source]) {
		return
	}
	u.dropPeer(source)
	u.reportedAt[source] = asOf
	for _, r := range reported {
		u.byHash(r.Account).byPeer[source] = peerUsage{r.Requested, r.Received, max(1, r.Routers), asOf}
	}
}

const (
	// reportedShareFraction is the fraction of its share below which an account's usage is not
	// reported: about that of its smallest requests.
	reportedShareFraction = 1.0 / 16
	// unreportedShareFraction bounds what all sources of a kind together leave unreported of an
	// account, as a fraction of its share.
	unreportedShareFraction = 1.0 / 4
	// maxReportedAccounts bounds the accounts in a router's report, since larger reports reach
	// each peer less often.
	maxReportedAccounts = 64
	// minReportedTokens is the usage below which no account is reported.
	minReportedTokens = 1
)

// isReported reports whether an account's usage is large enough to be reported by one of so
// many sources.
func (a *accountUsage) isReported(requested, received float64, sources int) bool {
	fraction := math.Min(reportedShareFraction, unreportedShareFraction/math.Max(float64(sources), 1))
	return math.Max(requested, received) >= math.Max(minReportedTokens, fraction*a.share)
}

// own returns the usage of accounts at this router, of those with the largest parts of their
// shares if there are many.
func (u *usage) own(now time.Time) []AccountReport {
	var reports []AccountReport
	for hash, a := range u.accounts {
		requested, received := a.requested.valueAt(now, u.timeConstant), a.received.valueAt(now, u.timeConstant)
		if a.isReported(requested, received, u.zoneRouters) {
			reports = append(reports, AccountReport{hash, requested, received, 1})
		}
	}
	if len(reports) > maxReportedAccounts {
		slices.SortFunc(reports, func(a, b AccountReport) int { return cmp.Compare(u.partOfShare(b), u.partOfShare(a)) })
		reports = reports[:maxReportedAccounts]
	}
	return reports
}

// partOfShare returns the ratio of an account's reported usage to its share.
func (u *usage) partOfShare(r AccountReport) float64 {
	return math.Max(r.Requested, r.Received) / math.Max(u.accounts[r.Account].share, 1)
}

// inZone returns the usage of accounts at the routers of this one's availability zone, the
// number of other routers that are included, and the mean age of the usage.
func (u *usage) inZone(now time.Time) (reports []AccountReport, peers int, age time.Duration) {
	for hash, a := range u.accounts {
		r := AccountReport{hash, a.requested.valueAt(now, u.timeConstant), a.received.valueAt(now, u.timeConstant), 1}
		for source, p := range a.byPeer {
			if source.router != "" {
				r.Requested, r.Received, r.Routers = r.Requested+p.requested, r.Received+p.received, r.Routers+p.routers
			}
		}
		if a.isReported(r.Requested, r.Received, u.zones) {
			reports = append(reports, r)
		}
	}
	for source, at := range u.reportedAt {
		if source.router != "" {
			age += now.Sub(at)
			peers++
		}
	}
	return reports, peers, age / time.Duration(1+peers)
}

// usageTimeout is the time without a report of accounts after which the usage at a peer no
// longer counts. In a large fleet reports are seconds apart, and some are lost.
const usageTimeout = 10 * time.Second

// expirePeers removes the usage of peers whose last report is too old.
func (u *usage) expirePeers(now time.Time) {
	for peer, at := range u.reportedAt {
		if now.Sub(at) > usageTimeout {
			u.dropPeer(peer)
		}
	}
}

// dropPeer removes the usage that a source reported.
func (u *usage) dropPeer(peer usageSource) {
	delete(u.reportedAt, peer)
	for _, a := range u.accounts {
		delete(a.byPeer, peer)
	}
}

// sample records the present sums of what the account requested and received at this
// router.
func (a *accountUsage) sample(now time.Time, timeConstant time.Duration) {
	a.requestedBefore.record(a.requested.valueAt(now, timeConstant), now)
	a.receivedBefore.record(a.received.valueAt(now, timeConstant), now)
}

// totals returns the tokens that an account requested and received in the fleet.
// Peers report seconds late. Their reports are scaled by the growth at this router in
// the meantime; otherwise every router would learn seconds after a rise that all
// others place the account's requests too.
func (a *accountUsage) totals(now time.Time, timeConstant time.Duration) (requested, received float64) {
	requested, received = a.requested.valueAt(now, timeConstant), a.received.valueAt(now, timeConstant)
	if len(a.byPeer) == 0 {
		return requested, received
	}
	var peers peerUsage
	age := time.Duration(0)
	for _, p := range a.byPeer {
		peers.requested += p.requested
		peers.received += p.received
		peers.routers += p.routers
		age += now.Sub(p.reportedAt)
	}
	age /= time.Duration(len(a.byPeer))
	requestedBefore, receivedBefore := a.requestedBefore.valueAt(age), a.receivedBefore.valueAt(age)
	noise := growthNoiseRequests * a.meanSize
	// An account that had much less here than at an average peer, or that few peers have, has
	// only come to this router since, so its growth here says nothing about its peers.
	similarity := math.Min(1, (requestedBefore+noise)*float64(peers.routers)/math.Max(peers.requested, 1))
	if a.spread < minSpread {
		similarity = 0
	}
	// Its callers have left the peers then, which give it less than they reported.
	moved := (1 - similarity) * math.Min(1, math.Max(0, requested-requestedBefore-noise)/math.Max(peers.requested, 1))
	peers.received *= 1 - moved*(1-math.Exp(-age.Seconds()/timeConstant.Seconds()))
	requested += peers.requested * (1 + similarity*growth(requested, requestedBefore, noise))
	received += peers.received * (1 + similarity*growth(received, receivedBefore, noise))
	return requested, received
}

const (
	// minSpread is the fraction of routers below which an account counts as one whose callers
	// reach only some of them, and move between these together.
	minSpread = 0.5
	// reportedPartMargin is the ratio to the smallest usage that is reported above which nearly
	// all routers with an equal part of an account's usage report it.
	reportedPartMargin = 2
	// growthNoiseRequests is the number of requests of mean size that may make up a
	// growth at one router by chance.
	growthNoiseRequests = 2
	// sizeSmoothing is the weight of a request in the mean size of an account's
	// requests.
	sizeSmoothing = 0.1
)

// growth returns the relative growth of a value since an earlier one, at least 0. The
// earlier one counts as larger by noise, so that few requests make no large growth.
func growth(value, earlier, noise float64) float64 {
	if value <= earlier {
		return 0
	}
	return (value - earlier) / (earlier + noise)
}

// computeShares computes the accounts' max-min shares of the capacity in tokens per
// second, or of the total that was received if the capacity is 0.
func (u *usage) computeShares(capacity float64, now time.Time) {
	type demand struct {
		account             *accountUsage
		requested, received float64
	}
	demands := make([]demand, 0, len(u.accounts))
	total := 0.0
	zonePeers := u.zonePeers()
	for hash, a := range u.accounts {
		a.sample(now, u.timeConstant)
		a.spread = a.spreadOver(zonePeers, u.routers-1, u.zoneRouters)
		requested, received := a.totals(now, u.timeConstant)
		a.ratio, a.demandRatio, a.share = 0, 0, 0
		if requested < 1 {
			if len(a.byPeer) == 0 {
				delete(u.accounts, hash)
			}
			continue
		}
		demands = append(demands, demand{a, requested, received})
		total += received
	}
	if capacity > 0 {
		total = capacity * u.timeConstant.Seconds()
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.requested, b.requested) })
	remaining := total
	u.minCompetingRatio = 0
	for i, d := range demands {
		share := remaining / float64(len(demands)-i)
		d.account.share = share
		if d.requested > share {
			d.account.ratio, d.account.demandRatio = d.received/math.Max(share, 1), d.requested/math.Max(share, 1)
			if d.account.ratio > 0 && d.requested > d.received && (u.minCompetingRatio == 0 || d.account.ratio < u.minCompetingRatio) {
				u.minCompetingRatio = d.account.ratio
			}
		}
		remaining -= math.Min(d.requested, share)
	}
}

// zonePeers returns the number of routers of the own availability zone with a recent report.
func (u *usage) zonePeers() int {
	n := 0
	for source := range u.reportedAt {
		if source.router != "" {
			n++
		}
	}
	return n
}

// spreadOver returns the fraction of the peers that have the account, as reported: of those in
// the own availability zone, or of all in the fleet if that is less.
func (a *accountUsage) spreadOver(zonePeers, peers, zoneRouters int) float64 {
	var inZone, inFleet peerUsage
	for source, p := range a.byPeer {
		inFleet.requested, inFleet.routers = inFleet.requested+p.requested, inFleet.routers+p.routers
		if source.router != "" {
			inZone.requested, inZone.routers = inZone.requested+p.requested, inZone.routers+p.routers
		}
	}
	return math.Min(a.spreadOf(inZone, zonePeers, zoneRouters), a.spreadOf(inFleet, peers, zoneRouters))
}

// spreadOf returns the fraction of peers that have the account, given what they reported
// together. It returns 1 if most of them would not have reported an equal part of it either.
func (a *accountUsage) spreadOf(reported peerUsage, peers, zoneRouters int) float64 {
	if peers <= 0 || !a.isReported(reported.requested/float64(peers)/reportedPartMargin, 0, zoneRouters) {
		return 1
	}
	return float64(reported.routers) / float64(peers)
}

// AccountStatus is what a router believes of one account.
type AccountStatus struct {
	// Account is the hash of the account's name.
	Account uint32
	// Requested, Received and Share are in tokens of the share window. Requested and
	// Received include OwnRequested and OwnReceived, the tokens at this router.
	Requested, Received, Share float64
	OwnRequested, OwnReceived  float64
	// PeersReceived is the received part of the peers' reports, before it is scaled.
	PeersReceived float64
	// Ratio is the ratio of Received to Share if the account requested more than its
	// share, otherwise 0. CompetingRatio is the lowest one of all accounts that compete for
	// spare capacity, or 0 if none does.
	Ratio, CompetingRatio float64
	// Peers is the number of peers whose usage is known, and MaxAge the age of the oldest
	// of it.
	Peers  int
	MaxAge time.Duration
}

// underservedFraction is the fraction of what an account requested below which it
// counts as underserved.
const underservedFraction = 0.5

// Underserved returns the accounts that recently received less than half of what
// they requested, those with the largest unmet demand first, at most limit.
func (d *Dispatcher) Underserved(limit int, now time.Time) []AccountStatus {
	var statuses []AccountStatus
	for hash, a := range d.usage.accounts {
		s := AccountStatus{Account: hash, Share: a.share, Ratio: a.ratio, CompetingRatio: d.usage.minCompetingRatio}
		for _, p := range a.byPeer {
			s.Peers += p.routers
			s.PeersReceived += p.received
			s.MaxAge = max(s.MaxAge, now.Sub(p.reportedAt))
		}
		s.Requested, s.Received = a.totals(now, d.usage.timeConstant)
		s.OwnRequested, s.OwnReceived = a.requested.valueAt(now, d.usage.timeConstant), a.received.valueAt(now, d.usage.timeConstant)
		if s.OwnRequested >= minReportedTokens && s.Received < underservedFraction*s.Requested {
			statuses = append(statuses, s)
		}
	}
	slices.SortFunc(statuses, func(a, b AccountStatus) int {
		return cmp.Compare(b.Requested-b.Received, a.Requested-a.Received)
	})
	return statuses[:min(limit, len(statuses))]
}
