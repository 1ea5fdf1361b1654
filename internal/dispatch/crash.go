package dispatch

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// MayHaveCrashed reports whether a target that ended a connection may have crashed:
// it is not known to have crashed just before, it is not leaving, and the view does not
// say that its version was replaced.
func (d *Dispatcher) MayHaveCrashed(id string, now time.Time) bool {
	t := d.targets[id]
	if t == nil || t.isLeaving() || d.justCrashed(id, now) {
		return false
	}
	status, moved := d.view.MoveStatuses[t.Service]
	return !moved || status.State == catalog.InProgress || (status.State == catalog.Completed) == (status.To == t.Version)
}

// justCrashed reports whether a target was found to have crashed and can't have
// restarted since.
func (d *Dispatcher) justCrashed(id string, now time.Time) bool {
	t := d.targets[id]
	return t != nil && now.Sub(t.crashedAt) < quarantine.RestartTime
}

// TargetCrashed records that a target crashed. It reports false if that can't be so
// or is known already.
func (d *Dispatcher) TargetCrashed(id string, now time.Time) (quarantine.Crash, bool) {
	if !d.MayHaveCrashed(id, now) {
		return quarantine.Crash{}, false
	}
	t := d.targets[id]
	t.crashedAt = now
	return d.quarantine.Crashed(t.incarnation, now), true
}

// Blocked returns the refusal of a new request because of a part of its prompt that is
// held or quarantined. It reports false if there is none.
func (d *Dispatcher) Blocked(r *Request, now time.Time) (Decision, bool) {
	r.sharedParts = SharedParts(r.Parts)
	return d.blockedNow(r, now)
}

func (d *Dispatcher) blockedNow(r *Request, now time.Time) (Decision, bool) {
	b, blocked := d.quarantine.Blocked(r.sharedParts, now)
	return refusalOf(r, b), blocked
}

// BlockedSince is Blocked for a request that was to be sent.
func (d *Dispatcher) BlockedSince(r *Request) (Decision, bool) {
	b, blocked := d.quarantine.BlockedSince(r.Sequence, r.sharedParts)
	return refusalOf(r, b), blocked
}

func refusalOf(r *Request, b quarantine.Block) Decision {
	if b.RetryAfter > 0 {
		return Decision{Request: r, Action: RefuseHeld, Part: b.Part, RetryAfter: b.RetryAfter}
	}
	return Decision{Request: r, Action: RefuseQuarantined, Part: b.Part}
}

// SuspectedOfCrashes reports whether a request must not be repeated after a failure,
// since a part of its prompt may be what crashes targets.
func (d *Dispatcher) SuspectedOfCrashes(parts []PromptPart) bool {
	return d.quarantine.Suspected(SharedParts(parts))
}

// ReviewCrashes drops evidence on crashes that is too old, and decides on what had to
// wait for more. It is to be called several times a second.
func (d *Dispatcher) ReviewCrashes(now time.Time) { d.quarantine.Expire(now) }

// TakeNews reports whether there is evidence on crashes since the last call that peers
// may not know.
func (d *Dispatcher) TakeNews() bool { return d.quarantine.TakeNews() }

// TakeVerdicts returns the changes of quarantined parts since the last call.
func (d *Dispatcher) TakeVerdicts() []quarantine.Verdict { return d.quarantine.TakeVerdicts() }

// retainRuns drops the runs at targets that are no longer in the view.
func (d *Dispatcher) retainRuns() {
	known := make(map[uint32]bool, len(d.targets))
	for _, t := range d.targets {
		known[t.incarnation] = true
	}
	d.quarantine.Retain(func(target uint32) bool { return known[target] })
}
