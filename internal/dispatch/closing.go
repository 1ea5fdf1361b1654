package dispatch

import (
	"math"
	"slices"
	"time"
)

// Closing is what a target stated in a response: that it takes no requests from this router
// for a time.
type Closing struct {
	// Target is the ID of the target, and Addr its address.
	Target, Addr string
	// StartedUnixMilli is the target's start as known when the request was sent, as a
	// Unix time in ms, and SentAt when that was.
	StartedUnixMilli int64
	SentAt           time.Time
	// For is the time from the response on.
	For time.Duration
}

// belongsTo reports whether the present start of a target stated it. A request
// that was sent after a start can have reached no earlier one, whatever was known of it.
func (c Closing) belongsTo(t *target) bool {
	return c.Addr == t.Addr && (c.StartedUnixMilli == t.StartedUnixMilli || t.StartedUnixMilli <= c.SentAt.UnixMilli())
}

// closing is the closing of a target that is in force.
type closing struct {
	Closing
	until time.Time
}

// CloseTarget records that a target wants no requests for a time. The latest end counts,
// since what a target stated before still holds. Peers aren't told, since it concerns this
// router alone. It reports whether the target was open before.
func (d *Dispatcher) CloseTarget(c Closing, now time.Time) bool {
	t := d.targets[c.Target]
	if c.For <= 0 || t != nil && !c.belongsTo(t) {
		return false
	}
	next := closing{Closing: c, until: now.Add(c.For)}
	previous, known := d.closings[c.Target]
	holds := known && previous.until.After(now) && (t == nil || previous.belongsTo(t))
	if holds && previous.until.After(next.until) {
		next = previous
	}
	d.closings[c.Target] = next
	if t != nil {
		t.estimate.round = 0
	}
	return !holds
}

// closedFor returns the time until a target wants requests from this router again; 0 if it
// does now.
func (d *Dispatcher) closedFor(t *target, now time.Time) time.Duration {
	c, closed := d.closings[t.ID]
	if !closed || !c.belongsTo(t) {
		return 0
	}
	return max(0, c.until.Sub(now))
}

// ClosedFor returns the time until the target with an ID wants requests from this router
// again; 0 if it does now. A target that is not in the view may work on.
func (d *Dispatcher) ClosedFor(id string, now time.Time) time.Duration {
	if t := d.targets[id]; t != nil {
		return d.closedFor(t, now)
	}
	return max(0, d.closings[id].until.Sub(now))
}

// TakeReopened returns the IDs of the targets that were closed and are open again, each
// once, in order: their time has passed, or they have started again.
func (d *Dispatcher) TakeReopened(now time.Time) []string {
	var reopened []string
	for id, c := range d.closings {
		// A target that is not in the view may come back.
		if t := d.targets[id]; c.until.After(now) && (t == nil || c.belongsTo(t)) {
			continue
		}
		delete(d.closings, id)
		reopened = append(reopened, id)
	}
	slices.Sort(reopened)
	return reopened
}

// untilOpen returns the time until a target of a service may get a request, or
// math.MaxInt64 if none may, and whether any of them is closed. The time holds for the
// request with which a caller comes back, which no target had before.
func (d *Dispatcher) untilOpen(service string, versions VersionFilter, now time.Time) (wait time.Duration, anyClosed bool) {
	wait = math.MaxInt64
	for _, t := range d.services[service] {
		d.updateEstimate(t, now)
		switch {
		case !versions.allows(t.Version), !d.acceptsRequests(t, now), d.view.ZonesOut[t.Zone]:
		case !t.estimate.usable:
			// It is unreachable or cold, and may be used again before closed ones open.
			wait = min(wait, noTargetRetryAfter)
		default:
			wait, anyClosed = min(wait, t.estimate.openIn), anyClosed || d.closedFor(t, now) > 0
		}
	}
	return wait, anyClosed
}

// RetryAfterTurnedAway returns when the caller of a request that a target turned away
// may retry: soon if another target of the service may serve it.
func (d *Dispatcher) RetryAfterTurnedAway(service string, versions VersionFilter, now time.Time) time.Duration {
	wait, _ := d.untilOpen(service, versions, now)
	if wait == math.MaxInt64 {
		return noTargetRetryAfter
	}
	return boundRetryAfter(wait)
}
