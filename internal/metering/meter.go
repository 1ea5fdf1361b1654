package metering

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

const (
	// maxReportAccounts bounds the accounts in one report, so that it fits in a datagram.
	maxReportAccounts = 600
	// standbyCollectors is the number of processes that gather counts besides the holder of
	// the duties: those that come first in the order in which vacant duties are taken.
	standbyCollectors = 2
	// closedRepeats is how often the final counts of a window are sent to a collector, since
	// reports may be lost.
	closedRepeats = 3
)

// Fleet is what a meter needs to know of the fleet.
type Fleet struct {
	// Self is the process itself.
	Self catalog.Member
	// View returns the current view.
	View func() *catalog.View
	// Silent reports whether nothing was heard of a member for some seconds.
	Silent func(name string) bool
	// Incarnation returns that of a member as far as it is known.
	Incarnation func(name string) uint32
	// Hash returns the hash of a name in reports.
	Hash func(name string) uint32
}

// Meter counts the requests that begin to run through one process, and tells the counts to the
// processes that gather them. It is safe for concurrent use.
type Meter struct {
	fleet     Fleet
	delay     time.Duration
	counter   *Counter
	collector *Collector
	time      *FleetTime

	mu         sync.Mutex
	deliveries map[receiver]map[int64]delivery
	// names holds the names of accounts by their hash, also of those that are no longer
	// configured while their windows are open.
	names map[uint32]accountName
}

// receiver is a process that gathers counts.
type receiver struct {
	name        string
	incarnation uint32
}

// delivery is what a receiver was last sent of a window.
type delivery struct {
	total   int64
	closed  bool
	repeats int
}

// accountName is an account's name with when it was last configured.
type accountName struct {
	name string
	at   time.Time
}

// NewMeter returns a meter. Windows have a length, and counts are kept until delay after their
// end.
func NewMeter(fleet Fleet, length, delay time.Duration) *Meter {
	return &Meter{
		fleet: fleet, delay: delay, counter: NewCounter(length, time.Now()), collector: NewCollector(), time: NewFleetTime(),
		deliveries: make(map[receiver]map[int64]delivery), names: make(map[uint32]accountName),
	}
}

// Record counts a request of an account that begins to run now.
func (m *Meter) Record(account string) { m.counter.Record(account, m.time.At(time.Now())) }

// ObserveClock records the time of day at a peer.
func (m *Meter) ObserveClock(peer uint32, wall time.Time) { m.time.Observe(peer, wall, time.Now()) }

// Merge adds a report of a peer.
func (m *Meter) Merge(r Report) { m.collector.Merge(r) }

// SetConfig records the names of accounts.
func (m *Meter) SetConfig(c *catalog.Configuration) {
	if c == nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, account := range c.Accounts {
		m.names[m.fleet.Hash(account.Name)] = accountName{account.Name, now}
	}
	keep := time.Duration(maxWindows) * m.counter.windows.length
	maps.DeleteFunc(m.names, func(_ uint32, n accountName) bool { return now.Sub(n.at) > keep })
}

// Delivery is a report for a member.
type Delivery struct {
	Member catalog.Member
	Report Report
}

// Deliveries returns the reports that are due now. The process's own collector gets its
// counts directly.
func (m *Meter) Deliveries() []Delivery {
	now := m.time.At(time.Now())
	receivers := m.collectors()
	var due []Delivery
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[receiver]bool)
	open := m.counter.open(now, m.delay)
	for _, member := range receivers {
		key := receiver{member.Name, m.fleet.Incarnation(member.Name)}
		known[key] = true
		for _, window := range open {
			for _, r := range m.reportsFor(key, window, m.counter.windows.at(now) > window) {
				if member.Name == m.fleet.Self.Name {
					m.collector.Merge(r)
					continue
				}
				due = append(due, Delivery{member, r})
			}
		}
	}
	maps.DeleteFunc(m.deliveries, func(r receiver, _ map[int64]delivery) bool { return !known[r] })
	return due
}

// reportsFor returns the reports on a window for a receiver, none if it was sent the same
// before. The caller holds mu.
func (m *Meter) reportsFor(key receiver, window int64, closed bool) []Report {
	counts := m.counter.Snapshot(window)
	now := delivery{closed: closed, repeats: 1}
	for _, n := range counts {
		now.total += n
	}
	sent := m.deliveries[key]
	if sent == nil {
		sent = make(map[int64]delivery)
		m.deliveries[key] = sent
	}
	if last, ok := sent[window]; ok && last.total == now.total && last.closed == closed {
		if !closed || last.repeats >= closedRepeats {
			return nil
		}
		now.repeats = last.repeats + 1
	}
	sent[window] = now
	maps.DeleteFunc(sent, func(w int64, _ delivery) bool { return w <= window-maxWindows })
	return m.split(window, closed, counts)
}

// split returns the counts of a window as reports of bounded size.
func (m *Meter) split(window int64, closed bool, counts map[string]int64) []Report {
	var reports []Report
	names := slices.Sorted(maps.Keys(counts))
	for first := 0; first == 0 || first < len(names); first += maxReportAccounts {
		part := names[first:min(first+maxReportAccounts, len(names))]
		r := Report{Window: window, Closed: closed, Accounts: len(names), Counts: make(map[uint32]int64, len(part))}
		r.Sender = m.fleet.Hash(m.fleet.Self.Name)
		for _, name := range part {
			r.Counts[m.fleet.Hash(name)] += counts[name]
		}
		reports = append(reports, r)
	}
	return reports
}

// collectors returns the members that gather counts: the holder of the duties and those that
// would take them next.
func (m *Meter) collectors() []catalog.Member {
	view := m.fleet.View()
	members := m.live(view)
	chosen := members[:min(len(members), standbyCollectors)]
	if hold := view.DutyHold; hold != nil {
		holder, ok := view.Members[hold.Holder]
		if ok && !slices.ContainsFunc(chosen, func(m catalog.Member) bool { return m.Name == holder.Name }) {
			chosen = append(slices.Clone(chosen), holder)
		}
	}
	return chosen
}

// live returns the members that are heard, including the process itself, in the order of
// names.
func (m *Meter) live(view *catalog.View) []catalog.Member {
	live := []catalog.Member{m.fleet.Self}
	for name, member := range view.Members {
		if name != m.fleet.Self.Name && !m.fleet.Silent(name) {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b catalog.Member) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Turn returns the number of live members that come before the process in the order of names.
func (m *Meter) Turn() int {
	return slices.IndexFunc(m.live(m.fleet.View()), func(member catalog.Member) bool { return member.Name == m.fleet.Self.Name })
}

// missing returns the names of live members that have not told all their counts of a window.
func (m *Meter) missing(window int64) []string {
	names := make(map[uint32]string)
	for _, member := range m.live(m.fleet.View()) {
		names[m.fleet.Hash(member.Name)] = member.Name
	}
	var missing []string
	for _, sender := range m.collector.Missing(window, slices.Sorted(maps.Keys(names))) {
		missing = append(missing, names[sender])
	}
	return missing
}

// total returns the counts of a window by the name of the account, and the number of requests
// of accounts whose name is unknown.
func (m *Meter) total(window int64) (counts map[string]int64, unknown int64) {
	counts = make(map[string]int64)
	sum := m.collector.Sum(window)
	m.mu.Lock()
	defer m.mu.Unlock()
	for hash, n := range sum {
		if account, ok := m.names[hash]; ok {
			counts[account.name] += n
		} else {
			unknown += n
		}
	}
	return counts, unknown
}
