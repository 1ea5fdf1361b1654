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
	// concentrateFor is how long a request of a new version waits for the few
	// targets that take a small share before others hear of it, so that it never
	// waits while capacity idles.
	concentrateFor = 100 * time.Millisecond
	// unclaimedFor is how long a version's requests wait without any claim before
	// they go to the old version.
	unclaimedFor = time.Second
	// versionTick is how often the router looks for such requests.
	versionTick = 100 * time.Millisecond
)

// serviceVersion names a version of a service.
type serviceVersion struct{ service, version string }

// claimTimes holds when a request of each version was claimed last. It belongs
// to the router's lock.
type claimTimes map[serviceVersion]time.Time

// note notes a claim.
func (c claimTimes) note(k queueKey, now time.Time) { c[serviceVersion{k.service, k.version}] = now }

// chooseVersion returns the version for a request that is queued. The caller
// holds the lock.
func (r *Router) chooseVersion(snap *configstore.Snapshot, req *request) string {
	if r.opts.Versions == nil {
		return req.version
	}
	return r.opts.Versions.Version(snap, req.service, req.route)
}

// bad reports whether the version that a target serves is known to be bad.
func (r *Router) bad(snap *configstore.Snapshot, t *zinniaquayv1.Target) bool {
	return r.opts.Versions != nil && r.opts.Versions.Bad(snap, t.GetService(), t.GetVersion())
}

// fresh reports whether a request may wait for the targets that take a share.
func (r *request) fresh(now time.Time) bool { return now.Sub(r.queuedAt) < concentrateFor }

// takesShare reports whether a target is one of those that take the present
// share of its version.
func (r *Router) takesShare(snap *configstore.Snapshot, t *zinniaquayv1.Target, name string) bool {
	return r.opts.Versions == nil || slices.Contains(r.opts.Versions.Targets(snap, t.GetService(), t.GetVersion()), name)
}

// eligible returns the targets that may hear of a queue. The caller holds the
// lock.
func (r *Router) eligible(snap *configstore.Snapshot, k queueKey, now time.Time) []string {
	queue := r.queues.byKey[k]
	if r.opts.Versions != nil && len(queue) > 0 && queue[0].fresh(now) {
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

// watchVersions gives waiting requests to another version where theirs is bad
// or is not claimed, until the context ends.
func (r *Router) watchVersions(ctx context.Context) {
	tick := time.NewTicker(versionTick)
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

// reassign moves waiting requests, none of which is at any sidecar, to the
// version that is to serve them now.
func (r *Router) reassign(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.opts.Store.Current()
	if snap == nil {
		return
	}
	r.opts.Versions.Retain(snap)
	moved := false
	for _, req := range r.movable(snap) {
		other, ok := r.opts.Versions.Fallback(snap, req.service, req.version, req.route, r.unclaimed(req, now))
		if !ok {
			continue
		}
		r.queues.remove(req)
		req.version = other
		req.reserved = 0
		r.queues.pushByAge(req)
		moved = true
	}
	if moved {
		r.placer.poke()
	}
}

// movable returns the waiting requests of versions that traffic moves to. The
// caller holds the lock.
func (r *Router) movable(snap *configstore.Snapshot) []*request {
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

// unclaimed reports whether a request has waited long without any claim of its
// version. The caller holds the lock.
func (r *Router) unclaimed(req *request, now time.Time) bool {
	last := r.claims[serviceVersion{req.service, req.version}]
	return now.Sub(req.queuedAt) >= unclaimedFor && now.Sub(last) >= unclaimedFor
}

// fallBack lets a request that was handed out in vain wait for the old version,
// unless the new one has all traffic. The caller holds the lock.
func (r *Router) fallBack(req *request) {
	snap := r.opts.Store.Current()
	if snap == nil || r.opts.Versions == nil {
		return
	}
	if other, ok := r.opts.Versions.Fallback(snap, req.service, req.version, req.route, true); ok {
		req.version = other
	}
}
