package dispatch

import "time"

// namedLimit is the request rate that a target in need names in its responses: what it
// takes from the whole fleet, for as long as it names it.
type namedLimit struct {
	// perSecond is the rate, if active.
	perSecond float64
	active    bool
	// heardAt is when the target last responded to this router, and namedAt when it last
	// named the limit.
	heardAt, namedAt time.Time
}

// ObserveLimit records the limit in a target's response, or that it names none, to a
// request that was sent at a time. It reports whether the target began or ended to name
// a limit.
func (d *Dispatcher) ObserveLimit(id string, perSecond float64, named bool, sentAt, now time.Time) bool {
	t := d.targets[id]
	if t == nil || !named && !t.limit.active {
		return false
	}
	l := &t.limit
	if !named && sentAt.Before(l.namedAt) {
		// The response may be older than the one with the limit.
		return false
	}
	changed := named != l.active
	l.heardAt, l.active, l.perSecond = now, named, perSecond
	if named {
		l.namedAt = now
	}
	return changed
}
