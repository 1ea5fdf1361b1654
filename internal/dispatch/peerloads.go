package dispatch

import (
	"maps"
	"math"
	"time"
)

// A report says what a peer had on each target when it was sent. In a large fleet reports of one
// peer are many seconds apart, while requests that are read for the first time last for tenths
// of a second. So what is known of one target decays to what a target has on average, which
// changes slowly and is known from the peers that reported last.
const (
	// runningMemory and backlogMemory are the time constants with which a peer's load on one
	// target loses its meaning.
	runningMemory = 1500 * time.Millisecond
	backlogMemory = 150 * time.Millisecond
	// totalRunningMemory and totalBacklogMemory are the time constants with which a report
	// counts less in the estimate of what an average peer has on all targets.
	totalRunningMemory = 3 * time.Second
	totalBacklogMemory = 2 * time.Second
	// estimateInterval is the minimum time between two such estimates.
	estimateInterval = 50 * time.Millisecond
	// minPeerTimeout and maxPeerTimeout bound the time without a report after which a peer's
	// load no longer counts. Between them it is peerTimeoutIntervals times the usual interval
	// between reports of one peer, which grows with the fleet; a peer whose report was lost
	// counts again with the next one.
	minPeerTimeout, maxPeerTimeout = 5 * time.Second, 45 * time.Second
	peerTimeoutIntervals           = 1.5
	// silentMemory is the time without a report after which a peer is no longer listed by the
	// store.
	silentMemory = time.Minute
	// intervalSmoothing is the weight of the newest interval between reports.
	intervalSmoothing = 0.05
)

// decay returns the part that is left of something after a time.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(memory))
}

// decayed returns the part of a load on one target that is still as reported after a time.
func (l Load) decayed(age time.Duration) Load {
	running := decay(age, runningMemory)
	return Load{l.Running * running, l.Backlog * decay(age, backlogMemory), l.Memory * running}
}

// decayingLoad is a sum of loads on one target that decay.
type decayingLoad struct {
	load Load
	at   time.Time
}

// add adds what is left of a load that was reported at a time.
func (l *decayingLoad) add(load Load, reportedAt, now time.Time) {
	*l = decayingLoad{l.value(now).plus(load.decayed(now.Sub(reportedAt))), now}
}

// value returns the sum at a time.
func (l *decayingLoad) value(now time.Time) Load { return l.load.decayed(now.Sub(l.at)) }

// peer is the latest report of another router.
type peer struct {
	lastReport time.Time
	loads      map[uint32]Load
	// totals holds the sums of its loads by service.
	totals map[string]Load
}

// peerLoads estimates what other routers have on targets.
type peerLoads struct {
	peers map[string]*peer
	// silent holds the last reports of peers that no longer report. The store lists them for a
	// while.
	silent map[string]time.Time
	// interval is the usual time between two reports of a peer; 0 if unknown.
	interval time.Duration
	// average holds, by service, the estimated load of all peers on a target beyond what is
	// known of that target, as of averagedAt.
	average    map[string]Load
	averagedAt time.Time
}

func newPeerLoads() peerLoads {
	return peerLoads{peers: make(map[string]*peer), silent: make(map[string]time.Time), average: make(map[string]Load)}
}

// mergeLoads replaces the loads that a peer reported.
func (d *Dispatcher) mergeLoads(name string, loads map[uint32]Load, now time.Time) {
	if old := d.peerLoads.peers[name]; old != nil {
		d.addPeerLoads(old, -1, now)
		d.peerLoads.observeInterval(now.Sub(old.lastReport))
	} else if last, silent := d.peerLoads.silent[name]; silent {
		d.peerLoads.observeInterval(now.Sub(last))
	}
	p := &peer{lastReport: now, loads: loads}
	d.peerLoads.peers[name] = p
	delete(d.peerLoads.silent, name)
	d.addPeerLoads(p, 1, now)
	d.sumTotals(p)
}

func (l *peerLoads) observeInterval(interval time.Duration) {
	if l.interval == 0 {
		l.interval = interval
	}
	l.interval += time.Duration(intervalSmoothing * float64(interval-l.interval))
}

// addPeerLoads adds what is left of a peer's loads, times a factor, to those of the targets.
func (d *Dispatcher) addPeerLoads(p *peer, factor float64, now time.Time) {
	for key, load := range p.loads {
		if t := d.targetsByShortID[key]; t != nil {
			t.peerLoad.add(load.times(factor), p.lastReport, now)
		}
	}
}

// sumTotals sums a peer's loads by service.
func (d *Dispatcher) sumTotals(p *peer) {
	p.totals = make(map[string]Load)
	for key, load := range p.loads {
		if t := d.targetsByShortID[key]; t != nil {
			p.totals[t.Service] = p.totals[t.Service].plus(load)
		}
	}
}

// sumPeerLoads computes the loads of all peers anew, after the targets have changed.
func (d *Dispatcher) sumPeerLoads() {
	var latest time.Time
	for _, p := range d.peerLoads.peers {
		if p.lastReport.After(latest) {
			latest = p.lastReport
		}
	}
	for _, t := range d.targets {
		t.peerLoad = decayingLoad{at: latest}
	}
	for _, p := range d.peerLoads.peers {
		d.addPeerLoads(p, 1, latest)
		d.sumTotals(p)
	}
}

// timeout returns the time without a report after which a peer's load no longer counts.
func (l *peerLoads) timeout() time.Duration {
	if l.interval == 0 {
		return maxPeerTimeout
	}
	return min(max(minPeerTimeout, time.Duration(peerTimeoutIntervals*float64(l.interval))), maxPeerTimeout)
}

// expireLoads removes the loads of peers that have sent no report for too long, and forgets
// those that were removed from the store since.
func (d *Dispatcher) expireLoads(now time.Time) {
	for name, p := range d.peerLoads.peers {
		if now.Sub(p.lastReport) > d.peerLoads.timeout() {
			d.addPeerLoads(p, -1, now)
			delete(d.peerLoads.peers, name)
			d.peerLoads.silent[name] = p.lastReport
		}
	}
	maps.DeleteFunc(d.peerLoads.silent, func(_ string, last time.Time) bool { return now.Sub(last) > silentMemory })
}

// averageLoads estimates, for each service, the load of all peers on a target beyond what is
// known of it: what was placed since they reported, and what those have that did not report
// yet. Both are assumed to be spread evenly over the targets.
func (d *Dispatcher) averageLoads(now time.Time) {
	l := &d.peerLoads
	if now.Sub(l.averagedAt) < estimateInterval {
		return
	}
	l.averagedAt = now
	clear(l.average)
	type sums struct{ recent, known Load }
	services := make(map[string]sums)
	runningWeight, backlogWeight := 0.0, 0.0
	for _, p := range l.peers {
		age := now.Sub(p.lastReport)
		running, backlog := decay(age, totalRunningMemory), decay(age, totalBacklogMemory)
		runningWeight, backlogWeight = runningWeight+running, backlogWeight+backlog
		for service, total := range p.totals {
			s := services[service]
			s.recent = s.recent.plus(Load{total.Running * running, total.Backlog * backlog, total.Memory * running})
			s.known = s.known.plus(total.decayed(age))
			services[service] = s
		}
	}
	peers := float64(max(len(l.peers), len(d.view.Members)-1-len(l.silent)))
	for service, s := range services {
		all := Load{s.recent.Running / runningWeight, s.recent.Backlog / backlogWeight, s.recent.Memory / runningWeight}.times(peers)
		if targets := len(d.services[service]); targets > 0 {
			l.average[service] = all.plus(s.known.times(-1)).times(1 / float64(targets))
		}
	}
}

// peerLoad returns the estimated load of all peers on a target: what is known of the target, and
// in all, with what is there on average.
func (d *Dispatcher) peerLoad(t *target, now time.Time) (known, all Load) {
	known = t.peerLoad.value(now).atLeastZero()
	return known, known.plus(d.peerLoads.average[t.Service]).atLeastZero()
}

func (l Load) atLeastZero() Load {
	return Load{math.Max(0, l.Running), math.Max(0, l.Backlog), math.Max(0, l.Memory)}
}
