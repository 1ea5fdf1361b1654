package dispatch

import (
	"math"
	"time"
)

const (
	// DefaultMaxWaitFraction is the part of its objective for which a request waits for
	// room. A caller that is refused then and comes back can still be on time, twice.
	DefaultMaxWaitFraction = 0.15
	// spillAfter is the part of its objective after which a request goes to a
	// target that does not keep its parts; before it would be refused.
	spillAfter = 0.12
	// DefaultMaxLateLoad is the part of a target's places up to which requests are
	// served that can only be late: on an engine that has little to do they take
	// nothing from those that can be on time.
	DefaultMaxLateLoad = 0.15
	// DefaultMaxLateBacklog is the backlog up to which they are.
	DefaultMaxLateBacklog = 5 * time.Millisecond
	// spareLoad is the part of a target's places, and spareWait the backlog, up
	// to which it serves accounts that have just had their share.
	spareLoad = 0.55
	spareWait = 30 * time.Millisecond
	// spareSteepness is the power by which that shrinks with what an account had
	// beside the least served that competes: hosts that carry little slow some
	// accounts down, and the others are not to run away from them.
	spareSteepness = 2
	// retryNoTarget is when a request comes back for which there is no target:
	// about the time in which a target returns or is replaced.
	retryNoTarget = 500 * time.Millisecond
	// noTargetPatience is how long a request waits while no target may serve it.
	noTargetPatience = 100 * time.Millisecond
	// leastRetry and mostRetry bound when a request comes back that was refused
	// because of load: some places are free again after a few steps of the engines,
	// and another router may know of one.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// admits reports whether a request takes the room that there is. One that can
// only be late leaves the last places to others.
func (d *Dispatcher) admits(r *Request, c candidate, now time.Time) bool {
	if r.TokensIn == 0 || r.Resume {
		return true
	}
	if now.Add(c.first).Sub(r.Arrived) > r.Objective &&
		(c.wait > d.limits.MaxLateBacklog || float64(c.target.running()) > d.limits.MaxLateLoad*float64(c.target.Slots)) {
		return false
	}
	return r.order.spare == 0 || d.spares(r, c)
}

// spills reports whether a request has waited long enough for the target that
// suits it best to go to another with room.
func (d *Dispatcher) spills(r *Request, now time.Time) bool {
	return r.order.spare == 0 && now.Sub(r.Arrived) >= time.Duration(spillAfter*float64(r.Objective))
}

// spares reports whether a target has spare capacity for an account that has had
// its share: the less, the more the account had beside the least served of those
// that compete for it, so that all of them get the same.
func (d *Dispatcher) spares(r *Request, c candidate) bool {
	part := 1.0
	if d.usage.least > 0 && r.order.spare > d.usage.least {
		part = math.Pow(d.usage.least/r.order.spare, spareSteepness)
	}
	load := float64(c.target.running()) / float64(c.target.Slots)
	return load <= spareLoad*part && c.wait <= time.Duration(float64(spareWait)*part)
}

// tooLate reports whether waiting on serves nobody.
func (d *Dispatcher) tooLate(r *Request, c candidate, now time.Time) bool {
	if now.Add(c.first).After(r.Deadline) {
		return true
	}
	if r.Resume {
		return false
	}
	return now.Sub(r.Arrived) > d.patience(r)
}

// patience returns how long a request waits for room.
func (d *Dispatcher) patience(r *Request) time.Duration {
	return time.Duration(d.limits.MaxWaitFraction * float64(r.Objective))
}

// hopeless reports whether a request has waited long enough for a target.
func (d *Dispatcher) hopeless(r *Request, now time.Time) bool {
	return now.Sub(r.Arrived) > noTargetPatience || now.After(r.Deadline)
}

// retryAfter returns when a request that was refused because of load may come
// back.
func (d *Dispatcher) retryAfter(c candidate) time.Duration {
	return min(max(leastRetry, 2*c.wait), mostRetry)
}
