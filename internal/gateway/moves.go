package gateway

import (
	"sync"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/move"
)

// Parameters of moves between versions.
const (
	// canaryFraction is the fraction of the allowed exposure that a canary
	// version gets. The rest is reserved for the time right after it gets all
	// traffic.
	canaryFraction = 0.6
	// completeFraction is the fraction of a move's duration after which a
	// healthy version gets all traffic.
	completeFraction = 0.85
	// minCompleteResponses is the minimum number of responses for a version to
	// count as healthy.
	minCompleteResponses = 20
	// minBadResponses is the minimum number of bad responses for a version to
	// count as bad. It is well below 50, the number after which a bad version
	// must soon get no requests.
	minBadResponses = 6
	// badRateMargin is the margin over the old version's rate of bad responses
	// above which the new version counts as bad.
	badRateMargin = 0.15
	// slowLatencyFactor is the ratio to the old version's average latency above
	// which a response counts as bad.
	slowLatencyFactor = 2.5
	// latencySmoothing is the weight of one response in the moving average of
	// the latency.
	latencySmoothing = 0.05
)

// moveTracker divides traffic between the versions of services that the
// operator moves, and evaluates the new versions. It is safe for concurrent
// use.
type moveTracker struct {
	self             string
	exposureFraction float64

	mu       sync.Mutex
	view     *catalog.View
	canaries map[string]*canary
}

// canary is a move order with the evidence on its new version.
type canary struct {
	order    *catalog.MoveOrder
	spreader *move.Spreader
	old, new versionStats
	peers    map[string]*zinniaquayv1.MoveEvidence
}

// versionStats are statistics of the responses that this process received from
// one version. Bad responses don't count in the latency.
type versionStats struct {
	responses, bad    uint32
	avgLatencySeconds float64
}

func newMoveTracker(self string, exposureFraction float64) *moveTracker {
	return &moveTracker{self: self, exposureFraction: exposureFraction, view: &catalog.View{}, canaries: make(map[string]*canary)}
}

// setView applies the orders of a new view. An order that replaces another
// starts a new canary.
func (m *moveTracker) setView(view *catalog.View, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = view
	for service, order := range view.Moves {
		// The same order may have another revision after a restore of the store.
		if t := m.canaries[service]; t != nil && t.order.FirstSeen.Equal(order.FirstSeen) {
			t.order = order
		} else {
			m.canaries[service] = &canary{
				order: order, spreader: move.NewSpreader(m.self), peers: make(map[string]*zinniaquayv1.MoveEvidence),
			}
		}
	}
	for service := range m.canaries {
		if view.Moves[service] == nil {
			delete(m.canaries, service)
		}
	}
}

// versionFilter returns the versions that a request may run on.
func (m *moveTracker) versionFilter(service, route string) dispatch.VersionFilter {
	m.mu.Lock()
	defer m.mu.Unlock()
	status, written := m.view.MoveStatuses[service]
	t := m.canaries[service]
	if t == nil || status.Final(t.order) {
		switch {
		case written && status.State == catalog.Reverted:
			return dispatch.VersionFilter{Except: status.To}
		case t != nil && status.State == catalog.Completed:
			return dispatch.VersionFilter{Only: status.To}
		}
		return dispatch.VersionFilter{}
	}
	if t.isBad() || !m.hasReadyTarget(t.order) {
		return dispatch.VersionFilter{Except: t.order.To}
	}
	if t.spreader.Next(route, m.exposureFraction*canaryFraction, m.memberNames) {
		return dispatch.VersionFilter{Only: t.order.To}
	}
	return dispatch.VersionFilter{Except: t.order.To}
}

// hasReadyTarget reports whether a target of the new version accepts requests.
func (m *moveTracker) hasReadyTarget(order *catalog.MoveOrder) bool {
	now := time.Now()
	for _, t := range m.view.Targets {
		if t.Service == order.Service && t.Version == order.To && !t.Leaving && !t.Cold(now) {
			return true
		}
	}
	return false
}

func (m *moveTracker) memberNames() []string {
	names := make([]string, 0, len(m.view.Members))
	for name := range m.view.Members {
		names = append(names, name)
	}
	return names
}

// recordOutcome records how a request ended that ran with a version filter.
func (m *moveTracker) recordOutcome(service string, filter dispatch.VersionFilter, o dispatch.Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.canaries[service]
	if t == nil || o == dispatch.Abandoned || o == dispatch.NotRun || o == dispatch.NotSent {
		return
	}
	isBad := o != dispatch.Answered
	if filter.Only != t.order.To {
		t.old.add(isBad, took)
		return
	}
	slow := t.old.avgLatencySeconds > 0 && took.Seconds() > slowLatencyFactor*t.old.avgLatencySeconds
	t.new.add(isBad || slow, took)
}

func (e *versionStats) add(isBad bool, took time.Duration) {
	e.responses++
	if isBad {
		e.bad++
		return
	}
	if e.avgLatencySeconds == 0 {
		e.avgLatencySeconds = took.Seconds()
	}
	e.avgLatencySeconds += latencySmoothing * (took.Seconds() - e.avgLatencySeconds)
}

// totals returns the evidence on the new version from the whole fleet.
func (t *canary) totals() (responses, bad uint32) {
	responses, bad = t.new.responses, t.new.bad
	for _, p := range t.peers {
		responses += p.GetAnswers()
		bad += p.GetBad()
	}
	return responses, bad
}

// isBad reports whether the evidence shows that the new version is bad.
func (t *canary) isBad() bool {
	responses, bad := t.totals()
	if bad < minBadResponses {
		return false
	}
	baselineRate := float64(t.old.bad) / float64(max(1, t.old.responses))
	return float64(bad)/float64(responses) > baselineRate+badRateMargin
}

// evidence returns the evidence that is sent to peers.
func (m *moveTracker) evidence() []*zinniaquayv1.MoveEvidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var evidence []*zinniaquayv1.MoveEvidence
	for _, t := range m.canaries {
		evidence = append(evidence, &zinniaquayv1.MoveEvidence{Order: t.order.Revision, Answers: t.new.responses, Bad: t.new.bad})
	}
	return evidence
}

// merge replaces the evidence received from a peer.
func (m *moveTracker) merge(peer string, evidence []*zinniaquayv1.MoveEvidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range evidence {
		for _, t := range m.canaries {
			if t.order.Revision == e.GetOrder() {
				t.peers[peer] = e
			}
		}
	}
}

// pendingStatus is a move status to be written for the operator.
type pendingStatus struct {
	service, to string
	state       catalog.MoveState
	// expectedRevision is the revision of the status that this one replaces; 0
	// for none. The write fails if another status was written in the meantime.
	expectedRevision int64
}

// pendingStatuses returns the statuses that the view lacks and that must be
// written to the store.
func (m *moveTracker) pendingStatuses(now time.Time) []pendingStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []pendingStatus
	for service, t := range m.canaries {
		status := m.view.MoveStatuses[service]
		if status.Final(t.order) {
			if status.Lost {
				pending = append(pending, pendingStatus{service, status.To, status.State, status.Revision})
			}
			continue
		}
		responses, _ := t.totals()
		elapsed := now.Sub(t.order.FirstSeen)
		switch {
		case t.isBad():
			pending = append(pending, pendingStatus{service, t.order.To, catalog.Reverted, status.Revision})
		case float64(elapsed) >= completeFraction*float64(t.order.Duration) && responses >= minCompleteResponses && m.hasReadyTarget(t.order):
			pending = append(pending, pendingStatus{service, t.order.To, catalog.Completed, status.Revision})
		case !status.Current(t.order):
			pending = append(pending, pendingStatus{service, t.order.To, catalog.InProgress, status.Revision})
		}
	}
	return pending
}
