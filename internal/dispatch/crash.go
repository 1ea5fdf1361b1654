package dispatch

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// MayHaveCrashed reports whether a target that ended a connection may have crashed:
// it is not known to have crashed, and the view does not say that it is leaving or
// that its version was replaced.
func (d *Dispatcher) MayHaveCrashed(id string) bool {
	t := d.targets[id]
	if t == nil || t.Leaving || t.crashed {
		return false
	}
	status, moved := d.view.MoveStatuses[t.Service]
	return !moved || status.State == catalog.InProgress || (status.State == catalog.Completed) == (status.To == t.Version)
}

// TargetCrashed records that a target crashed. It reports false if that can't be so
// or is known already.
func (d *Dispatcher) TargetCrashed(id string, now time.Time) (quarantine.Crash, bool) {
	if !d.MayHaveCrashed(id) {
		return quarantine.Crash{}, false
	}
	t := d.targets[id]
	t.crashed = true
	return d.quarantine.Crashed(t.incarnation, now), true
}

// retainRuns drops the runs at targets that are no longer in the view.
func (d *Dispatcher) retainRuns() {
	known := make(map[uint32]bool, len(d.targets))
	for _, t := range d.targets {
		known[t.incarnation] = true
	}
	d.quarantine.Retain(func(target uint32) bool { return known[target] })
}
