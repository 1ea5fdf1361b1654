package dispatch

import "time"

// leavingNotice records that a target said in a response that it is leaving. It concerns
// one start of the target, for good.
type leavingNotice struct {
	startedUnixMilli int64
	addr             string
	// heardAt is when this router first heard it.
	heardAt time.Time
	// missingSince is since when the view lacks this start of the target; zero if it has
	// it.
	missingSince time.Time
}

// leavingMemory is how long a notice is kept while the view lacks its target. Entries that
// lapse come back within seconds, and a target that is leaving ends soon.
const leavingMemory = time.Minute

// concerns reports whether the notice is on the start of a target that the view has. Without a stated start it
// is on the process at the address.
func (n leavingNotice) concerns(t *target) bool {
	return t != nil && t.StartedUnixMilli == n.startedUnixMilli && (n.startedUnixMilli != 0 || t.Addr == n.addr)
}

// isLeaving reports whether the target is leaving by the view or as it said itself.
func (t *target) isLeaving() bool { return t.Leaving || t.saysLeaving() }

// saysLeaving reports whether the target said that it is leaving.
func (t *target) saysLeaving() bool { return !t.leavingSince.IsZero() }

// acceptsRequests reports whether a target may get requests as far as its leaving is
// concerned. One that said itself that it is leaving still may for a short time.
func (d *Dispatcher) acceptsRequests(t *target, now time.Time) bool {
	return !t.Leaving && (!t.saysLeaving() || now.Sub(t.leavingSince) < d.config.LeavingGrace)
}

// ObserveLeaving records that a start of a target said in a response that it is leaving.
// addr is where it was reached, and startedUnixMilli its start; 0 if it states none. It
// reports false if that is known already, or the start can't be told.
func (d *Dispatcher) ObserveLeaving(id, addr string, startedUnixMilli int64, now time.Time) bool {
	said := leavingNotice{startedUnixMilli: startedUnixMilli, addr: addr, heardAt: now}
	t := d.targets[id]
	if startedUnixMilli == 0 && !said.concerns(t) {
		return false
	}
	if known, ok := d.leavingNotices[id]; ok && known.startedUnixMilli == startedUnixMilli && (startedUnixMilli != 0 || known.addr == addr) {
		return false
	}
	d.leavingNotices[id] = said
	if said.concerns(t) {
		t.leavingSince = now
		d.indexTargets()
	}
	return true
}

// applyLeavingNotices marks the targets of a new view that said that they are leaving.
func (d *Dispatcher) applyLeavingNotices() {
	for id, n := range d.leavingNotices {
		switch t := d.targets[id]; {
		case n.concerns(t):
			t.leavingSince = n.heardAt
		case n.startedUnixMilli == 0:
			// Whatever comes under the ID from now on can't be told from another start.
			delete(d.leavingNotices, id)
		}
	}
}

// ExpireLeaving forgets targets that said that they are leaving and are gone. It is to be
// called several times a second.
func (d *Dispatcher) ExpireLeaving(now time.Time) {
	for id, n := range d.leavingNotices {
		switch {
		case n.concerns(d.targets[id]):
			n.missingSince = time.Time{}
		case n.missingSince.IsZero():
			n.missingSince = now
		case now.Sub(n.missingSince) > leavingMemory:
			delete(d.leavingNotices, id)
			continue
		}
		d.leavingNotices[id] = n
	}
}
