// Package versions chooses the version that serves a request, and the targets
// of that version that are notified of it.
package versions

import (
	"sync"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/move"
)

// MoveOf returns the declared move of a service.
func MoveOf(snap *configstore.Snapshot, service string) (move.Declaration, bool) {
	for name, m := range snap.Doc.GetMoves() {
		if m.GetService() == service {
			return move.NewDeclaration(name, m), true
		}
	}
	return move.Declaration{}, false
}

// Declarations returns all declared moves.
func Declarations(snap *configstore.Snapshot) []move.Declaration {
	var declared []move.Declaration
	for name, m := range snap.Doc.GetMoves() {
		declared = append(declared, move.NewDeclaration(name, m))
	}
	return declared
}

// Bad reports whether the verdicts rate a version of a service as bad.
func Bad(snap *configstore.Snapshot, verdicts *move.VerdictSet, service, version string) bool {
	d, ok := MoveOf(snap, service)
	return ok && version == d.To && verdicts.Bad(d)
}

// Chooser chooses versions at one router. It is safe for concurrent use.
type Chooser struct {
	router   string
	verdicts *move.VerdictSet
	routers  func() []string

	mu        sync.Mutex
	spreaders map[uint64]*move.Spreader
}

// NewChooser returns the chooser of a router. The function routers returns the
// names of all routers, including this one.
func NewChooser(router string, verdicts *move.VerdictSet, routers func() []string) *Chooser {
	return &Chooser{router: router, verdicts: verdicts, routers: routers, spreaders: make(map[uint64]*move.Spreader)}
}

// Version returns the version that serves the next request of a route. Each
// call counts as one request when a share is spread over requests.
func (c *Chooser) Version(snap *configstore.Snapshot, service, route string) string {
	version := snap.Doc.GetServices()[service].GetVersion()
	d, ok := MoveOf(snap, service)
	switch {
	case !ok:
		return version
	case version == d.To && c.verdicts.Bad(d) && startable(snap, service, d.From):
		return d.From
	case version != d.From:
		return version
	}
	if !startable(snap, service, d.To) {
		return d.From
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	share := d.Share(c.verdicts.Verdict(d), route)
	if c.spreader(d).Next(route, share, c.routers) {
		return d.To
	}
	return d.From
}

// spreader returns the spreader of a move. The caller holds the lock.
func (c *Chooser) spreader(d move.Declaration) *move.Spreader {
	s, ok := c.spreaders[d.Digest()]
	if !ok {
		s = move.NewSpreader(c.router)
		c.spreaders[d.Digest()] = s
	}
	return s
}

// Retain removes the spreaders of moves that are no longer declared.
func (c *Chooser) Retain(snap *configstore.Snapshot) {
	declared := make(map[uint64]bool)
	for _, d := range Declarations(snap) {
		declared[d.Digest()] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for digest := range c.spreaders {
		if !declared[digest] {
			delete(c.spreaders, digest)
		}
	}
}

// Fallback returns the version to which a waiting request is reassigned: the
// old version, if the new one is bad, or if no target claims requests of the
// new one while it does not have all traffic yet. It reports false if the
// request keeps its version.
func (c *Chooser) Fallback(snap *configstore.Snapshot, service, version, route string, unclaimed bool) (string, bool) {
	d, ok := MoveOf(snap, service)
	if !ok || version != d.To || !startable(snap, service, d.From) {
		return "", false
	}
	if c.verdicts.Bad(d) {
		return d.From, true
	}
	return d.From, unclaimed && d.Share(c.verdicts.Verdict(d), route) < 1
}

// Bad reports whether the verdicts rate a version of a service as bad.
func (c *Chooser) Bad(snap *configstore.Snapshot, service, version string) bool {
	return Bad(snap, c.verdicts, service, version)
}

// Targets returns the targets of a version to notify of its requests. A small share
// goes to few targets of the new version, so that they run under the load that they
// will have later.
func (c *Chooser) Targets(snap *configstore.Snapshot, service, version string) []string {
	var targets []string
	for _, name := range snap.Targets(service, version) {
		if snap.MayStart(name) {
			targets = append(targets, name)
		}
	}
	d, ok := MoveOf(snap, service)
	if !ok || version != d.To || snap.Doc.GetServices()[service].GetVersion() != d.From {
		return targets
	}
	v := c.verdicts.Verdict(d)
	return move.Subset(d, targets, d.LevelShare(v))
}

// startable reports whether any target of a version may start requests.
func startable(snap *configstore.Snapshot, service, version string) bool {
	for _, name := range snap.Targets(service, version) {
		if snap.MayStart(name) {
			return true
		}
	}
	return false
}
