package router

import (
	"context"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

const (
	// sharePeriod is how long a request is offered only to the targets that take
	// its version's share of traffic. After that, all targets of the version are
	// eligible, so that a request never waits while capacity is idle.
	sharePeriod = 100 * time.Millisecond
	// unclaimedTimeout is how long requests of a version wait without any claim
	// before they are reassigned to the old version.
	unclaimedTimeout = time.Second
	// reassignInterval is how often the router checks for such requests.
	reassignInterval = 100 * time.Millisecond
)

// serviceVersion identifies a version of a service.
type serviceVersion struct{ service, version string }

// lastClaims holds the time of the last granted claim of each version. It is
// guarded by Router.mu.
type lastClaims map[serviceVersion]time.Time

// record records a granted claim.
func (c lastClaims) record(k queueKey, now time.Time) { c[serviceVersion{k.service, k.version}] = now }

// chooseVersion returns the version for a request that is being queued. The
// caller must hold r.mu.
func (r *Router) chooseVersion(snap *configstore.Snapshot, req *request) string {
	if r.opts.Versions == nil {
		return req.version
	}
	return r.opts.Versions.Version(snap, req.service, req.route)
}

// isBadVersion reports whether there is a bad verdict on the version that a
// target serves.
func (r *Router) isBadVersion(snap *configstore.Snapshot, t *zinniaquayv1.Target) bool {
	return r.opts.Versions != nil && r.opts.Versions.Bad(snap, t.GetService(), t.GetVersion())
}

// shareTargetsOnly reports whether a request is offered only to the targets
// that take its version's share.
func (r *request) shareTargetsOnly(now time.Time) bool { return now.Sub(r.queuedAt) < sharePeriod }

// isShareTarget reports whether a target takes part of the current share of
// its version.
func (r *Router) isShareTarget(snap *configstore.Snapshot, t *zinniaquayv1.Target, name string) bool {
	return r.opts.Versions == nil || slices.Contains(r.opts.Versions.Targets(snap, t.GetService(), t.GetVersion()), name)
}

// eligibleTargets returns the targets that may receive reservations of a
// queue. The caller must hold r.mu.
func (r *Router) eligibleTargets(snap *configstore.Snapshot, k queueKey, now time.Time) []string {
	queue := r.queues.byKey[k]
	if r.opts.Versions != nil && len(queue) > 0 && queue[0].shareTargetsOnly(now) {
		return r.opts.Versions.Targets(snap, k.service, k.version)
	}
	var targets []string
	for _, name := range snap.Targets(k.service, k.version) {
		if snap.MayStart(name) {
			targets = append(targets, name)
		}
	}
	return targets
}

// watchVersions reassigns waiting requests to another version if their version
// is bad or is not claimed, until the context ends.
func (r *Router) watchVersions(ctx context.Context) {
	tick := time.NewTicker(reassignInterval)
	defer tick.Stop()
	for {
		changed := r.opts.VerdictsChanged()
		r.reassign(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// reassign moves waiting requests of new versions back to the old version if
// their version is bad or is not claimed. Waiting requests are not at any
// sidecar.
func (r *Router) reassign(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.opts.Store.Current()
	if snap == nil {
		return
	}
	r.opts.Versions.Retain(snap)
	moved := false
	for _, req := range r.requestsOfNewVersions(snap) {
		other, ok := r.opts.Versions.Fallback(snap, req.service, req.version, req.route, r.isUnclaimed(req, now))
		if !ok {
			continue
		}
		r.queues.remove(req)
		req.version = other
		req.reserved = 0
		r.queues.pushByQueuedAt(req)
		moved = true
	}
	if moved {
		r.placer.trigger()
	}
}

// requestsOfNewVersions returns the waiting requests of versions that traffic
// moves to. The caller must hold r.mu.
func (r *Router) requestsOfNewVersions(snap *configstore.Snapshot) []*request {
	newVersions := make(map[serviceVersion]bool)
	for _, d := range versions.Declarations(snap) {
		newVersions[serviceVersion{d.Service, d.To}] = true
	}
	var found []*request
	for k, queue := range r.queues.byKey {
		if newVersions[serviceVersion{k.service, k.version}] {
			found = append(found, queue...)
		}
	}
	return found
}

// isUnclaimed reports whether a request has waited for unclaimedTimeout
// without any claim of its version in that time. The caller must hold r.mu.
func (r *Router) isUnclaimed(req *request, now time.Time) bool {
	last := r.claims[serviceVersion{req.service, req.version}]
	return now.Sub(req.queuedAt) >= unclaimedTimeout && now.Sub(last) >= unclaimedTimeout
}

// fallBackToOldVersion reassigns a request to the old version after a failed
// attempt, unless the new version has all traffic. The caller must hold r.mu.
func (r *Router) fallBackToOldVersion(req *request) {
	snap := r.opts.Store.Current()
	if snap == nil || r.opts.Versions == nil {
		return
	}
	if other, ok := r.opts.Versions.Fallback(snap, req.service, req.version, req.route, true); ok {
		req.version = other
	}
}
