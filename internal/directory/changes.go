package directory

import (
	"maps"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// logChanges writes a line for each belief that changed.
func (d *Directory) logChanges(old, view *catalog.View) {
	if versionOf(old) != versionOf(view) {
		d.log.Info("configuration in force", "version", versionOf(view), "before", versionOf(old),
			"tokens_per_s", view.Config.Limits.TokensPerSecond, "keys", len(view.Config.Accounts))
	}
	d.logTargets(old, view)
	d.logMoves(old, view)
	logSet(view.ZonesOut, old.ZonesOut, func(zone string) { d.log.Info("zone taken out", "zone", zone) })
	logSet(old.ZonesOut, view.ZonesOut, func(zone string) { d.log.Info("zone returned", "zone", zone) })
	logSet(view.Members, old.Members, func(name string) {
		d.log.Info("member joined", "member", name, "addr", view.Members[name].Addr)
	})
	logSet(old.Members, view.Members, func(name string) { d.log.Info("member gone", "member", name) })
}

// logSet calls tell for each key of a map that another one has not with the same
// value.
func logSet[V comparable](in, other map[string]V, tell func(key string)) {
	for key := range maps.Keys(in) {
		if before, ok := other[key]; !ok || before != in[key] {
			tell(key)
		}
	}
}

// logTargets tells of targets that joined, changed or went.
func (d *Directory) logTargets(old, view *catalog.View) {
	for id, t := range view.Targets {
		before, known := old.Targets[id]
		switch {
		case !known:
			d.log.Info("target joined", "target", id, "service", t.Service, "addr", t.Addr, "zone", t.Zone,
				"version", t.Version, "cold", !t.ColdUntil.IsZero())
		case before.Leaving != t.Leaving || before.StartedUnixMilli != t.StartedUnixMilli || before.ColdUntil.IsZero() != t.ColdUntil.IsZero():
			d.log.Info("target changed", "target", id, "leaving", t.Leaving, "started", t.StartedUnixMilli, "cold", !t.ColdUntil.IsZero())
		}
	}
	for id := range old.Targets {
		if _, ok := view.Targets[id]; !ok {
			d.log.Info("target gone", "target", id)
		}
	}
}

// logMoves tells of new orders to move a service's traffic.
func (d *Directory) logMoves(old, view *catalog.View) {
	for service, m := range view.Moves {
		if before := old.Moves[service]; before == nil || before.Revision != m.Revision {
			d.log.Info("move ordered", "service", service, "to", m.To, "duration_ms", m.Duration.Milliseconds())
		}
	}
}
