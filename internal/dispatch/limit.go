package dispatch

import (
	"math"
	"time"
)

// namedLimit is the request rate that a target in need names in its responses: what it
// takes from the whole fleet, for as long as it names it.
type namedLimit struct {
	// perSecond is the rate, if active.
	perSecond float64
	active    bool
	// heardAt is when the target last responded to this router, and namedAt when it last
	// named the limit here or to a peer.
	heardAt, namedAt time.Time
	bucket           tokenBucket
}

const (
	// limitMemory is how long a limit holds after the target last named it. A router that
	// sends nothing to the target hears of the limit by its peers' reports only.
	limitMemory = 6 * time.Second
	// limitReportAge is the age up to which a limit that this router heard of itself is
	// reported to peers.
	limitReportAge = limitMemory / 2
	// limitFraction is the fraction of the limit that the fleet uses. The rest is left for
	// routers that have not heard of the limit.
	limitFraction = 0.9
	// minLimitOwnerRate is the smallest rate of one router, in requests per second. If the
	// limit allows less for each router, only some of them send to the target, since each
	// may have a request to spare when it has been idle.
	minLimitOwnerRate = 1.0
)

// current returns the limit if the target names one.
func (l *namedLimit) current(now time.Time) (perSecond float64, limited bool) {
	return l.perSecond, l.active && now.Sub(l.namedAt) < limitMemory
}

// limitShare returns this router's part of the request rate that a target names. It is 0
// if other routers have all of it, and infinite if the target names no limit.
func (d *Dispatcher) limitShare(t *target, now time.Time) float64 {
	perSecond, limited := t.limit.current(now)
	if !limited {
		return math.Inf(1)
	}
	rate := perSecond * limitFraction
	owners := min(max(1, int(rate/minLimitOwnerRate)), max(1, len(d.view.Members)))
	if !d.isOwner(t, owners) {
		return 0
	}
	return rate / float64(owners)
}

// limitWait returns the time until this router may send the next request to a target
// by the limit that it names; math.MaxInt64 if others may, but not this router.
func (d *Dispatcher) limitWait(t *target, now time.Time) time.Duration {
	share := d.limitShare(t, now)
	switch {
	case math.IsInf(share, 1), share > 0 && t.limit.bucket.peek(share, 1, now):
		return 0
	case share == 0:
		return math.MaxInt64
	}
	return t.limit.bucket.untilNext(share, now)
}

// consumeLimit counts a request against the limit that its target names.
func (d *Dispatcher) consumeLimit(t *target, now time.Time) {
	if share := d.limitShare(t, now); !math.IsInf(share, 1) {
		t.limit.bucket.take(share, 1, now)
	}
}

// limitReport returns the limits that this router heard of itself, by the target's short
// ID.
func (d *Dispatcher) limitReport(now time.Time) map[uint32]float64 {
	limits := make(map[uint32]float64)
	for _, t := range d.targets {
		if l := &t.limit; l.active && now.Sub(l.heardAt) < limitReportAge {
			limits[t.shortID] = l.perSecond
		}
	}
	return limits
}

// mergeLimits adds limits that a peer heard of. What this router heard itself is newer.
func (d *Dispatcher) mergeLimits(limits map[uint32]float64, now time.Time) {
	for key, perSecond := range limits {
		t := d.targetsByShortID[key]
		if t == nil || now.Sub(t.limit.heardAt) < limitReportAge {
			continue
		}
		t.limit.active, t.limit.perSecond, t.limit.namedAt = true, perSecond, now
	}
}

// ObserveLimit records the limit in a target's response, or that it names none, to a
// request that was sent at a time. It reports whether the target began or ended to name
// a limit.
func (d *Dispatcher) ObserveLimit(id string, perSecond float64, named bool, sentAt, now time.Time) bool {
	t := d.targets[id]
	if t == nil {
		return false
	}
	l := &t.limit
	if !named && l.active && sentAt.Before(l.namedAt) {
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
