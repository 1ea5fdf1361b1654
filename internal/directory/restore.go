package directory

import (
	"maps"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// departure is a target that left.
type departure struct {
	startedUnixMilli int64
	at               time.Time
}

// recordEra records the era of a response. The caller holds mu.
func (d *Directory) recordEra(era int64) {
	if era <= d.newestEra {
		return
	}
	if d.newestEra > 0 {
		d.log.Info("store restored from an older copy", "era", era, "era_before", d.newestEra,
			"revision_before", d.applied.Revision)
	}
	d.newestEra = era
}

// beginHistory drops what was remembered of items by their revisions, which belong to the
// history before. The caller holds mu.
func (d *Directory) beginHistory(position platform.Position, now time.Time) {
	clear(d.unreadable)
	d.restoredAt = now
	d.recoveredAt, d.recoveredRevision = now, position.Revision
}

// restoring reports whether what the store lost may still be written again.
func (d *Directory) restoring(now time.Time) bool {
	return !d.restoredAt.IsZero() && now.Sub(d.restoredAt) < restoreGrace
}

// endRestore ends the time in which the view keeps what the store lost. The caller holds
// mu.
func (d *Directory) endRestore(now time.Time) {
	if d.restoredAt.IsZero() || d.restoring(now) {
		return
	}
	d.restoredAt = time.Time{}
	d.requestResync()
}

// recordDepartures records the targets that a view no longer has. The caller holds mu.
func (d *Directory) recordDepartures(old, view *catalog.View, now time.Time) {
	maps.DeleteFunc(d.departures, func(id string, left departure) bool {
		return view.Targets[id] != nil || now.Sub(left.at) > departureMemory
	})
	for id, t := range old.Targets {
		if view.Targets[id] == nil {
			d.departures[id] = departure{t.StartedUnixMilli, now}
		}
	}
}

// keepLost keeps in a view that was read from the store what the view before had and the
// store lost in a restore: it is written again, and nothing that was in force may be
// undone meanwhile. Processes stay until their entry is written again, since only they
// write it.
func (d *Directory) keepLost(old, view *catalog.View, now time.Time) {
	restoring := d.restoring(now)
	for name, m := range old.Members {
		if _, ok := view.Members[name]; !ok && (restoring || m.Revision == 0) {
			m.Revision = 0
			view.Members[name] = m
		}
	}
	if !restoring {
		return
	}
	for service, order := range old.Moves {
		if view.Moves[service] == nil {
			view.Moves[service] = order
		}
	}
	d.keepMoves(old, view, now)
	for zone := range old.ZonesOut {
		view.ZonesOut[zone] = true
	}
	d.keepDepartures(old, view)
}

// keepDepartures keeps targets that were leaving or had left from coming back as they were
// before.
func (d *Directory) keepDepartures(old, view *catalog.View) {
	for id, t := range view.Targets {
		before := old.Targets[id]
		left, gone := d.departures[id]
		switch {
		case before != nil && before.StartedUnixMilli == t.StartedUnixMilli:
			kept := *t
			kept.Leaving = t.Leaving || before.Leaving
			if before.ColdUntil.After(t.ColdUntil) {
				kept.ColdUntil = before.ColdUntil
			}
			view.Targets[id] = &kept
		case before == nil && gone && left.startedUnixMilli == t.StartedUnixMilli:
			delete(view.Targets, id)
		}
	}
}

// keepMoves keeps, while what a restore of the store lost is written again, the start and
// the final state of moves: an order that is written again is the same order.
func (d *Directory) keepMoves(old, view *catalog.View, now time.Time) {
	if !d.restoring(now) {
		return
	}
	for service, before := range old.Moves {
		order := view.Moves[service]
		if order == nil || order.To != before.To || order.Duration != before.Duration {
			continue
		}
		kept := *order
		kept.FirstSeen = before.FirstSeen
		view.Moves[service] = &kept
		was, status := old.MoveStatuses[service], view.MoveStatuses[service]
		if was.Final(before) && !status.Final(&kept) {
			view.MoveStatuses[service] = catalog.MoveStatus{To: was.To, State: was.State, Revision: status.Revision, Lost: true}
		}
	}
}
