package directory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

const (
	// minZoneGroup is the number of processes in an availability zone from which on it has a
	// watch of its own; smaller zones share one. minGroup is the number that must share a
	// watch at least, since the process that has it checks the store more often.
	minZoneGroup = 5
	minGroup     = 3
	// suspension is how long a process is not asked for changes after a failure.
	suspension = 5 * time.Second
	// followerMemory is how long a process that asked for changes is remembered.
	followerMemory = 5 * time.Second
	// maxPollWait bounds how long a call for changes waits.
	maxPollWait = 5 * time.Second
)

// errPeerOutdated means that another process's view is older than this one's, or older than
// a view may be without a check.
var errPeerOutdated = errors.New("the member's view is outdated")

// PeerChange is what another process knows of changes of the store.
type PeerChange struct {
	platform.Change
	// Confirmed is when the other process's view was last known to be current, counted from
	// the arrival of the call there; negative if that was before.
	Confirmed time.Duration
	// StoreDown is set if the store does not respond to the other process.
	StoreDown bool
}

// Peers calls other processes.
type Peers interface {
	// Changes waits until a member knows of changes of the store after a position, and
	// returns them. After the wait it returns without any. The error wraps
	// platform.ErrCompacted if the member no longer has all of them.
	Changes(ctx context.Context, m catalog.Member, after platform.Position, wait time.Duration) (PeerChange, error)
	// Silent reports whether nothing was heard of a member for some seconds.
	Silent(name string) bool
}

// watchers selects the process to take changes of the store from: the first in the order
// of names of those in the availability zone that respond, or of all in the fleet if the zone
// has less than minZoneGroup. Processes need not agree on it. It is safe for concurrent use.
type watchers struct {
	self     catalog.Member
	peers    Peers
	failures metrics.Counter

	mu sync.Mutex
	// suspendedUntil holds, by name, the processes that failed.
	suspendedUntil map[string]time.Time
}

func newWatchers(self catalog.Member, peers Peers, registry metrics.Registry) *watchers {
	return &watchers{
		self: self, peers: peers, suspendedUntil: make(map[string]time.Time),
		failures: metrics.GetOrRegisterCounter(telemetry.Name("store_peer_failures_total"), registry),
	}
}

// choose returns the process to take changes from. It reports false if this process is to
// ask the store.
func (w *watchers) choose(view *catalog.View) (catalog.Member, bool) {
	before, size := w.group(view)
	if size < minGroup {
		return catalog.Member{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, name := range before {
		if now.After(w.suspendedUntil[name]) {
			return view.Members[name], true
		}
	}
	return catalog.Member{}, false
}

// group returns the names of the other processes that share a watch with this one and come
// before it, in order, and the number of all that share it.
func (w *watchers) group(view *catalog.View) (before []string, size int) {
	if w.peers == nil {
		return nil, 0
	}
	if before, size = w.among(view, func(m catalog.Member) bool { return m.Zone == w.self.Zone }); size >= minZoneGroup {
		return before, size
	}
	return w.among(view, func(catalog.Member) bool { return true })
}

// among returns the names of the other processes that match and come before this one, in
// order, and the number of all that match, including this one.
func (w *watchers) among(view *catalog.View, match func(catalog.Member) bool) (before []string, size int) {
	size = 1
	for name, m := range view.Members {
		if name == w.self.Name || !match(m) || w.peers.Silent(name) {
			continue
		}
		size++
		if name < w.self.Name {
			before = append(before, name)
		}
	}
	slices.Sort(before)
	return before, size
}

// suspend keeps a process that failed from being chosen for a while.
func (w *watchers) suspend(name string) {
	w.failures.Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for other, until := range w.suspendedUntil {
		if now.After(until) {
			delete(w.suspendedUntil, other)
		}
	}
	w.suspendedUntil[name] = now.Add(suspension)
}

// watchTimeout returns how long a watch of the store waits: until a process that failed may
// be asked again, if there is one.
func (w *watchers) watchTimeout(view *catalog.View) time.Duration {
	if before, size := w.group(view); size >= minGroup && len(before) > 0 {
		return suspension
	}
	return watchTimeout
}

// hasFollowers reports whether other processes take changes from this one.
func (d *Directory) hasFollowers() bool {
	at := d.followedAt.Load()
	return at > 0 && d.sinceBoot()-time.Duration(at) < followerMemory
}

// Changes waits until the view has changes after a position, and returns them for another
// process. After the wait it returns without any. Its errors are platform.ErrUnavailable, and
// platform.ErrCompacted if not all changes are held any more.
func (d *Directory) Changes(ctx context.Context, after platform.Position, limit time.Duration) (PeerChange, error) {
	arrivedAt := d.sinceBoot()
	if !d.hasFollowers() {
		defer request(d.checkRequests)
	}
	d.followedAt.Store(int64(arrivedAt))
	timer := time.NewTimer(min(limit, maxPollWait))
	defer timer.Stop()
	for expired := false; ; {
		// The view has at least what it had when it was last confirmed.
		confirmedAt := d.confirmedAt.Load()
		d.mu.Lock()
		applied, advanced := d.applied, d.advanced
		items, held := d.history.after(after)
		d.mu.Unlock()
		if confirmedAt == 0 {
			return PeerChange{}, platform.ErrUnavailable
		}
		ahead := applied.Era == after.Era && applied.Revision > after.Revision
		if ahead && !held {
			return PeerChange{}, platform.ErrCompacted
		}
		if expired || ahead || applied.Era != after.Era {
			return PeerChange{
				Change:    platform.Change{Items: items, Position: applied},
				Confirmed: time.Duration(confirmedAt) - arrivedAt, StoreDown: d.StoreDown(),
			}, nil
		}
		select {
		case <-advanced:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return PeerChange{}, ctx.Err()
		}
	}
}
