package dispatch

import (
	"math"
	"time"
)

const (
	// DefaultMaxWaitFraction is the fraction of its objective that a request waits
	// for room. A caller that is refused after that can retry twice and still be on
	// time.
	DefaultMaxWaitFraction = 0.15
	// spillWaitFraction is the fraction of its objective after which a request may
	// go to a target that does not cache its prefix. It is below
	// DefaultMaxWaitFraction, so that this happens before the request is refused.
	spillWaitFraction = 0.12
	// DefaultMaxLateLoad is the fraction of a target's slots in use up to which it
	// gets requests that can only be late. On a lightly loaded engine they take
	// nothing from requests that can be on time.
	DefaultMaxLateLoad = 0.15
	// DefaultMaxLateBacklog is the backlog up to which a target gets such requests.
	DefaultMaxLateBacklog = 5 * time.Millisecond
	// maxOverShareLoad is the fraction of a target's slots in use, and
	// maxOverShareWait the backlog, up to which it serves accounts that are over
	// their share.
	maxOverShareLoad = 0.55
	maxOverShareWait = 30 * time.Millisecond
	// maxOverShareAverageWait is the fraction of its objective that a request of such an
	// account would wait on average, up to which targets have spare capacity.
	maxOverShareAverageWait = 0.12
	// maxOverShareLead and minOverShareLead bound the ratio of what an account may receive
	// to what the least served competing account has, however much it requests. Hosts of
	// low capacity slow some accounts down, and the others must not take all the spare
	// capacity in the meantime.
	maxOverShareLead, minOverShareLead = 1.25, 0.9
	// overShareExponent is the exponent by which that ratio falls once an account exceeds
	// maxOverShareLead.
	overShareExponent = 2
	// noTargetRetryAfter is the Retry-After of a request without a usable target:
	// about the time in which a target returns or is replaced.
	noTargetRetryAfter = 500 * time.Millisecond
	// maxNoTargetWait is how long a request waits while it has no usable target.
	maxNoTargetWait = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request refused
	// because of load: some slots are free again after a few engine steps, and
	// another router may have a target with room.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// admits reports whether a request may use the room at a candidate. Requests that
// can only be late, and those of accounts over their share, get only targets with
// little load.
func (d *Dispatcher) admits(r *Request, c candidate, now time.Time) bool {
	if r.TokensIn == 0 || r.Resume {
		return true
	}
	if d.onlyLate(r, c, now) {
		return false
	}
	return r.order.overShareRatio == 0 || d.admitsOverShare(r, c)
}

// onlyLate reports whether a request can only be late at a candidate that has other work.
func (d *Dispatcher) onlyLate(r *Request, c candidate, now time.Time) bool {
	return now.Add(c.firstToken).Sub(r.Arrived) > r.Objective &&
		(c.wait > d.config.MaxLateBacklog || c.target.estimate.load > d.config.MaxLateLoad)
}

// obstacle returns what keeps a request from a candidate.
func (d *Dispatcher) obstacle(r *Request, c candidate, now time.Time) Obstacle {
	switch {
	case !c.hasRoom:
		return NoRoom
	case d.onlyLate(r, c, now):
		return OnlyLate
	}
	return OverShare
}

// overdue returns by how much a request has exceeded its maximum wait.
func (d *Dispatcher) overdue(r *Request, now time.Time) time.Duration {
	return max(0, now.Sub(r.Arrived)-d.maxWait(r))
}

// maySpillOver reports whether a request has waited long enough for its best target
// to be sent to another one with room.
func (d *Dispatcher) maySpillOver(r *Request, now time.Time) bool {
	return r.order.overShareRatio == 0 && now.Sub(r.Arrived) >= time.Duration(spillWaitFraction*float64(r.Objective))
}

// admitsOverShare reports whether a target has spare capacity for an account
// that is over its share.
func (d *Dispatcher) admitsOverShare(r *Request, c candidate) bool {
	part := sparePart(r.order.overShareRatio, d.usage.byHash(r.accountHash).demandRatio, d.usage.minCompetingRatio)
	// An idle target has room within any limit, and every router sees it idle until
	// peers report. So only a part of the requests may use it.
	if part < 1 && d.spareDraw(r, c.target) > part {
		return false
	}
	return c.target.estimate.load <= maxOverShareLoad && c.wait <= maxOverShareWait &&
		c.averageWait <= time.Duration(maxOverShareAverageWait*float64(r.Objective))
}

// sparePart returns the part of the requests of an account over its share that may use
// spare capacity. An account above the least served competing one gets a multiple of what that
// one has, however much it requests. The multiple falls from maxOverShareLead the further
// the account is above it, but never below minOverShareLead: what an account received while
// nobody else needed it is no reason to leave the account with nothing afterwards.
func sparePart(ratio, demandRatio, leastRatio float64) float64 {
	if leastRatio <= 0 || ratio <= leastRatio {
		return 1
	}
	lead := maxOverShareLead * math.Pow(maxOverShareLead*leastRatio/ratio, overShareExponent)
	lead = math.Min(math.Max(lead, minOverShareLead), maxOverShareLead)
	return math.Min(1, lead*leastRatio/math.Max(demandRatio, ratio))
}

// spareDraw returns a number from 0 to 1 that is fixed for a request and a target,
// so that a request doesn't draw again with each decision.
func (d *Dispatcher) spareDraw(r *Request, t *target) float64 {
	return float64(mix(r.Sequence^t.idHash^d.selfHash)) / math.MaxUint64
}

// waitExpired reports whether a request is to be refused because it can't meet its
// deadline or has waited for its maximum time.
func (d *Dispatcher) waitExpired(r *Request, c candidate, now time.Time) bool {
	if now.Add(c.firstToken).After(r.Deadline) {
		return true
	}
	if r.Resume {
		return false
	}
	return now.Sub(r.Arrived) > d.maxWait(r)
}

// maxWait returns how long a request may wait for room.
func (d *Dispatcher) maxWait(r *Request) time.Duration {
	return time.Duration(d.config.MaxWaitFraction * float64(r.Objective))
}

// noTargetWaitExpired reports whether a request without a usable target is to be
// refused.
func (d *Dispatcher) noTargetWaitExpired(r *Request, now time.Time) bool {
	return now.Sub(r.Arrived) > maxNoTargetWait || now.After(r.Deadline)
}

// waitForTarget decides on a request whose targets may get no request now by the limits
// that they name, or as they are closed. It is refused at once if none may in time.
func (d *Dispatcher) waitForTarget(r *Request, wait time.Duration, now time.Time) (Decision, bool) {
	if at := now.Add(wait); !at.After(r.Deadline) && (r.Resume || at.Sub(r.Arrived) <= d.maxWait(r)) {
		return Decision{}, false
	}
	soonest, _ := d.untilOpen(r.Service, r.Versions, now)
	return Decision{Request: r, Action: RefuseLate, PredictedWait: wait, RetryAfter: boundRetryAfter(soonest),
		Obstacle: Unavailable, Overdue: d.overdue(r, now)}, true
}

// retryAfter returns the Retry-After of a request refused because of load.
func (d *Dispatcher) retryAfter(c candidate) time.Duration {
	return boundRetryAfter(2 * c.wait)
}

// boundRetryAfter returns the Retry-After of a request that may be served after a wait.
func boundRetryAfter(wait time.Duration) time.Duration {
	return min(max(minRetryAfter, wait), maxRetryAfter)
}
