package directory

import "github.com/zinniaquay/zinniaquay/internal/catalog"

// logChanges writes a line for each belief that changed.
func (d *Directory) logChanges(old, view *catalog.View) {
	if versionOf(old) != versionOf(view) {
		d.log.Info("configuration in force", "version", versionOf(view), "before", versionOf(old),
			"tokens_per_s", view.Config.Limits.TokensPerSecond, "accounts", len(view.Config.Accounts))
	}
	for id, t := range view.Targets {
		before, known := old.Targets[id]
		switch {
		case !known:
			d.log.Info("target joined", "target", id, "service", t.Service, "addr", t.Addr, "zone", t.Zone,
				"version", t.Version, "cold", !t.ColdUntil.IsZero())
		case before.Leaving != t.Leaving || before.Started != t.Started || before.ColdUntil.IsZero() != t.ColdUntil.IsZero():
			d.log.Info("target changed", "target", id, "leaving", t.Leaving, "started", t.Started, "cold", !t.ColdUntil.IsZero())
		}
	}
	for id := range old.Targets {
		if _, ok := view.Targets[id]; !ok {
			d.log.Info("target gone", "target", id)
		}
	}
	for zone := range view.ZonesOut {
		if !old.ZonesOut[zone] {
			d.log.Info("zone taken out", "zone", zone)
		}
	}
	for zone := range old.ZonesOut {
		if !view.ZonesOut[zone] {
			d.log.Info("zone returned", "zone", zone)
		}
	}
	for service, m := range view.Moves {
		if before := old.Moves[service]; before == nil || before.Revision != m.Revision {
			d.log.Info("move ordered", "service", service, "to", m.To, "duration_ms", m.Duration.Milliseconds())
		}
	}
	for name, m := range view.Members {
		if before, ok := old.Members[name]; !ok || before != m {
			d.log.Info("member joined", "member", name, "incarnation", m.Incarnation)
		}
	}
	for name := range old.Members {
		if _, ok := view.Members[name]; !ok {
			d.log.Info("member gone", "member", name)
		}
	}
}
