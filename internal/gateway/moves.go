package gateway

import (
	"sync"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/move"
)

// Figures of moves between versions.
const (
	// trialShare is the part of the allowed exposure that a version under trial
	// gets; the rest is kept for its first moments as the only version.
	trialShare = 0.6
	// completeAt is the part of a move's duration after which a sound version
	// takes all traffic.
	completeAt = 0.85
	// leastTrial is the number of answers without which a version is not called
	// sound.
	leastTrial = 20
	// leastBad is the number of bad answers that a verdict needs, a fraction of
	// the 50 after which a bad version must soon get nothing.
	leastBad = 6
	// badMargin is by how much the share of bad answers is higher than that of
	// the old version.
	badMargin = 0.15
	// slowFactor is by how many times the answers of a bad version are slower.
	slowFactor = 2.5
	// slowMemory is the weight of one answer in a mean latency.
	slowMemory = 0.05
)

// moves divides traffic between the versions of services that the operator
// moves, and judges the new ones. It is safe for concurrent use.
type moves struct {
	self     string
	exposure float64

	mu     sync.Mutex
	view   *catalog.View
	trials map[string]*trial
}

// trial is one order and the evidence on its new version.
type trial struct {
	order    *catalog.MoveOrder
	spreader *move.Spreader
	old, new evidence
	peers    map[string]*zinniaquayv1.MoveEvidence
}

// evidence is what one version answered here.
type evidence struct {
	answers, bad uint32
	latency      float64
}

func newMoves(self string, exposure float64) *moves {
	return &moves{self: self, exposure: exposure, view: &catalog.View{}, trials: make(map[string]*trial)}
}

// setView takes over the orders of a new view. An order that was replaced starts
// a new trial.
func (m *moves) setView(view *catalog.View, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = view
	for service, order := range view.Moves {
		if t := m.trials[service]; t == nil || t.order.Revision != order.Revision {
			m.trials[service] = &trial{
				order: order, spreader: move.NewSpreader(m.self), peers: make(map[string]*zinniaquayv1.MoveEvidence),
			}
		}
	}
	for service := range m.trials {
		if view.Moves[service] == nil {
			delete(m.trials, service)
		}
	}
}

// version returns the versions that a request may run on.
func (m *moves) version(service, route string) dispatch.VersionFilter {
	m.mu.Lock()
	defer m.mu.Unlock()
	status, written := m.view.MoveStatuses[service]
	t := m.trials[service]
	if t == nil || written && status.To == t.order.To && status.Revision > t.order.Revision && status.State != catalog.InProgress {
		switch {
		case written && status.State == catalog.Reverted:
			return dispatch.VersionFilter{Except: status.To}
		case t != nil && status.State == catalog.Completed:
			return dispatch.VersionFilter{Only: status.To}
		}
		return dispatch.VersionFilter{}
	}
	if t.isBad() || !m.ready(t.order) {
		return dispatch.VersionFilter{Except: t.order.To}
	}
	if t.spreader.Next(route, m.exposure*trialShare, m.members) {
		return dispatch.VersionFilter{Only: t.order.To}
	}
	return dispatch.VersionFilter{Except: t.order.To}
}

// ready reports whether a target of the new version takes work.
func (m *moves) ready(order *catalog.MoveOrder) bool {
	now := time.Now()
	for _, t := range m.view.Targets {
		if t.Service == order.Service && t.Version == order.To && !t.Leaving && !t.Cold(now) {
			return true
		}
	}
	return false
}

func (m *moves) members() []string {
	names := make([]string, 0, len(m.view.Members))
	for name := range m.view.Members {
		names = append(names, name)
	}
	return names
}

// note enters how a request ended at a version.
func (m *moves) note(service string, ran dispatch.VersionFilter, o dispatch.Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.trials[service]
	if t == nil || o == dispatch.Abandoned || o == dispatch.NotRun {
		return
	}
	isBad := o != dispatch.Answered
	if ran.Only != t.order.To {
		t.old.add(isBad, took)
		return
	}
	slow := t.old.latency > 0 && took.Seconds() > slowFactor*t.old.latency
	t.new.add(isBad || slow, took)
}

func (e *evidence) add(isBad bool, took time.Duration) {
	e.answers++
	if isBad {
		e.bad++
		return
	}
	if e.latency == 0 {
		e.latency = took.Seconds()
	}
	e.latency += slowMemory * (took.Seconds() - e.latency)
}

// totals returns the evidence of the whole fleet on the new version.
func (t *trial) totals() (answers, bad uint32) {
	answers, bad = t.new.answers, t.new.bad
	for _, p := range t.peers {
		answers += p.GetAnswers()
		bad += p.GetBad()
	}
	return answers, bad
}

// isBad reports the verdict on the new version.
func (t *trial) isBad() bool {
	answers, bad := t.totals()
	if bad < leastBad {
		return false
	}
	usual := float64(t.old.bad) / float64(max(1, t.old.answers))
	return float64(bad)/float64(answers) > usual+badMargin
}

// evidence returns what peers are told.
func (m *moves) evidence() []*zinniaquayv1.MoveEvidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*zinniaquayv1.MoveEvidence
	for _, t := range m.trials {
		all = append(all, &zinniaquayv1.MoveEvidence{Order: t.order.Revision, Answers: t.new.answers, Bad: t.new.bad})
	}
	return all
}

// merge takes over a peer's evidence.
func (m *moves) merge(peer string, all []*zinniaquayv1.MoveEvidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range all {
		for _, t := range m.trials {
			if t.order.Revision == e.GetOrder() {
				t.peers[peer] = e
			}
		}
	}
}

// due is a status that the operator is to be told.
type due struct {
	service, to string
	state       catalog.MoveState
	// over is the revision of the status that this one follows; 0 for none. A
	// status that was written meanwhile is not written over.
	over int64
}

// due returns the statuses that are not in the store yet.
func (m *moves) due(now time.Time) []due {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []due
	for service, t := range m.trials {
		status, written := m.view.MoveStatuses[service]
		current := written && status.To == t.order.To && status.Revision > t.order.Revision
		if current && status.State != catalog.InProgress {
			continue
		}
		answers, _ := t.totals()
		elapsed := now.Sub(t.order.FirstSeen)
		switch {
		case t.isBad():
			all = append(all, due{service, t.order.To, catalog.Reverted, status.Revision})
		case float64(elapsed) >= completeAt*float64(t.order.Duration) && answers >= leastTrial && m.ready(t.order):
			all = append(all, due{service, t.order.To, catalog.Completed, status.Revision})
		case !current:
			all = append(all, due{service, t.order.To, catalog.InProgress, status.Revision})
		}
	}
	return all
}
