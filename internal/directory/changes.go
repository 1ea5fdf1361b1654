package directory

import (
	"maps"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// logChanges logs each change of the view.
func (d *Directory) logChanges(old, view *catalog.View) {
	if configVersion(old) != configVersion(view) {
		d.log.Info("configuration in force", "version", configVersion(view), "before", configVersion(old),
			"tokens_per_s", view.Config.Limits.TokensPerSecond, "keys", len(view.Config.Accounts))
	}
	d.logTargets(old, view)
	d.logMoves(old, view)
	logDifference(view.ZonesOut, old.ZonesOut, func(zone string) { d.log.Info("zone taken out of service", "zone", zone) })
	logDifference(old.ZonesOut, view.ZonesOut, func(zone string) { d.log.Info("zone returned to service", "zone", zone) })
	logDifference(view.Members, old.Members, func(name string) {
		d.log.Info("member joined", "member", name, "addr", view.Members[name].Addr)
	})
	logDifference(old.Members, view.Members, func(name string) { d.log.Info("member removed", "member", name) })
}

// logDifference calls log for each key of m that is missing from other or has a
// different value there.
func logDifference[V comparable](m, other map[string]V, log func(key string)) {
	for key := range maps.Keys(m) {
		if previous, ok := other[key]; !ok || previous != m[key] {
			log(key)
		}
	}
}

// logTargets logs targets that were added, changed or removed.
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
			d.log.Info("target removed", "target", id)
		}
	}
}

// logMoves logs new orders to move a service's traffic.
func (d *Directory) logMoves(old, view *catalog.View) {
	for service, m := range view.Moves {
		if before := old.Moves[service]; before == nil || before.Revision != m.Revision {
			d.log.Info("move ordered", "service", service, "to", m.To, "duration_ms", m.Duration.Milliseconds())
		}
	}
}
