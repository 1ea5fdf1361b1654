// Package duty selects the one process of the fleet that performs its singleton duties on the
// platform, such as the report on usage. The holder has a record in the platform's store, which
// a lease removes when the holder is gone. The position at which the record was written is the
// fencing token of its calls: it rises with each holder, and also over a restore of the store.
package duty

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

// revisionBits is the number of low bits of a fencing token that hold the revision. The rest
// holds the era, so that tokens don't go back with the revisions when the store is restored.
const revisionBits = 40

// Token returns the fencing token of a record that was written at a revision of an era.
func Token(era, revision int64) int64 { return era<<revisionBits | revision }

const (
	// renewFraction is the fraction of a lease after which it is renewed: two renewals may
	// be lost before it ends.
	renewFraction = 0.3
	// retryFraction is the fraction of a lease after which a failed call is repeated.
	retryFraction = 0.15
	// safetyMargin is the time before the end of its lease at which a holder stops.
	safetyMargin = 200 * time.Millisecond
	// turnDelay is how much longer a process waits for another one to take vacant duties
	// than the one before it, in the order of names; maxTurnDelay bounds that wait.
	turnDelay    = 150 * time.Millisecond
	maxTurnDelay = 1500 * time.Millisecond
)

// Action is what a candidate does next.
type Action int

const (
	// Wait means that nothing is to be done.
	Wait Action = iota
	// Acquire means that the candidate takes the duties, which are vacant.
	Acquire
	// Renew means that the holder renews its lease.
	Renew
)

// Observation is what a process knows of the fleet.
type Observation struct {
	// Hold is the record in the store, nil if there is none, and Era that of the store.
	Hold *catalog.DutyHold
	Era  int64
	// Turn is the number of live processes that come before this one.
	Turn int
	// Unreachable is set if the store does not respond or was never read.
	Unreachable bool
}

// Hold is the right to perform the duties.
type Hold struct {
	// Token is the fencing token.
	Token int64
	// Revision of the record, for conditional writes to the store.
	Revision int64
	era      int64
	leaseID  int64
	// ttl is the time that the lease runs, and validUntil when the hold ends without another
	// renewal.
	ttl, validUntil time.Duration
}

// Candidate decides when a process takes, renews and gives up the duties. It has no I/O and
// no clock: times are durations since the start of the host, including suspensions. It is not
// safe for concurrent use.
type Candidate struct {
	name        string
	incarnation uint32
	ttl         time.Duration

	hold *Hold
	// pending is the hold that a write was to establish whose outcome is unknown.
	pending *Hold
	// nextCall is when a call may be made again, and notBefore when the process may take the
	// duties again after it has given them up.
	nextCall, notBefore time.Duration
	// vacantSince is when the duties were first seen vacant; vacant reports whether they are.
	vacant      bool
	vacantSince time.Duration
}

// NewCandidate returns a candidate for a process. ttl is the time that a lease runs, and the
// time in which the duties may not return to a process that has given them up. They may not
// return in that time to one that was restarted either, so it takes none before.
func NewCandidate(name string, incarnation uint32, ttl, started time.Duration) *Candidate {
	return &Candidate{name: name, incarnation: incarnation, ttl: ttl, notBefore: started + ttl + safetyMargin}
}

// own reports whether a record is that of this process.
func (c *Candidate) own(h *catalog.DutyHold) bool {
	return h != nil && h.Holder == c.name && h.Incarnation == c.incarnation
}

// Next returns what to do now. It reports why a hold has ended, if it has.
func (c *Candidate) Next(o Observation, now time.Duration) (action Action, lost string) {
	if lost = c.check(o, now); lost != "" {
		c.drop(now)
		return Wait, lost
	}
	if c.hold == nil && c.pending != nil {
		c.adopt(o, now)
	}
	switch {
	case now < c.nextCall:
		return Wait, ""
	case c.hold != nil && now >= c.renewAt():
		return Renew, ""
	case c.hold != nil:
		return Wait, ""
	}
	return c.mayAcquire(o, now), ""
}

// renewAt returns when the lease is to be renewed.
func (c *Candidate) renewAt() time.Duration {
	return c.hold.validUntil - time.Duration((1-renewFraction)*float64(c.hold.ttl))
}

// check returns why the hold has ended, or "".
func (c *Candidate) check(o Observation, now time.Duration) string {
	switch {
	case c.hold == nil:
		return ""
	case now >= c.hold.validUntil:
		return "the lease was not renewed in time"
	case o.Era > c.hold.era:
		return "the store was restored"
	case o.Era == c.hold.era && o.Hold != nil && o.Hold.Revision > c.hold.Revision:
		return "another process has the duties"
	}
	return ""
}

// adopt takes a hold whose write was not confirmed, if the store has it.
func (c *Candidate) adopt(o Observation, now time.Duration) {
	switch {
	case now >= c.pending.validUntil || o.Era > c.pending.era:
		c.pending = nil
	case c.own(o.Hold) && o.Era == c.pending.era && o.Hold.Era == o.Era:
		c.hold, c.pending = c.pending, nil
		c.hold.Revision, c.hold.Token = o.Hold.Revision, Token(o.Era, o.Hold.Revision)
	}
}

// mayAcquire returns Acquire if the duties are vacant and it is this process's turn.
func (c *Candidate) mayAcquire(o Observation, now time.Duration) Action {
	// A record of another era was written before a restore of the store.
	free := !o.Unreachable && (o.Hold == nil || o.Hold.Era != o.Era)
	if !free {
		c.vacant = false
		return Wait
	}
	if !c.vacant {
		c.vacant, c.vacantSince = true, now
	}
	wait := min(time.Duration(o.Turn)*turnDelay, maxTurnDelay)
	if now < c.vacantSince+wait || now < c.notBefore || c.pending != nil {
		return Wait
	}
	return Acquire
}

// Attempted records that a write of the record was sent. The lease was asked for at sentAt
// and runs for ttl.
func (c *Candidate) Attempted(sentAt, ttl time.Duration, leaseID, era int64) {
	c.pending = &Hold{era: era, leaseID: leaseID, ttl: ttl, validUntil: sentAt + ttl - safetyMargin}
}

// Acquired records that the write of the record succeeded at a revision.
func (c *Candidate) Acquired(revision int64) Hold {
	c.hold, c.pending = c.pending, nil
	c.hold.Revision, c.hold.Token = revision, Token(c.hold.era, revision)
	return *c.hold
}

// NotAcquired records that the record was not written.
func (c *Candidate) NotAcquired(now time.Duration) {
	c.pending, c.vacant = nil, false
	c.Failed(now)
}

// Failed records that a call failed.
func (c *Candidate) Failed(now time.Duration) {
	c.nextCall = now + time.Duration(retryFraction*float64(c.ttl))
}

// Renewed records that the lease was renewed by a call that was sent at a time.
func (c *Candidate) Renewed(sentAt time.Duration) {
	if c.hold != nil {
		c.hold.validUntil = sentAt + c.hold.ttl - safetyMargin
	}
}

// GiveUp ends the hold, and keeps the process from taking the duties again for a time. It
// returns the lease to end; 0 if there is none.
func (c *Candidate) GiveUp(now, pause time.Duration) (leaseID int64) {
	if c.hold == nil {
		return 0
	}
	leaseID = c.hold.leaseID
	c.drop(now)
	c.notBefore = max(c.notBefore, now+pause)
	return leaseID
}

// drop ends the hold. The duties may not return to this process before another one that
// takes them has been the only one for a lease. A call of this process from before may be
// executed for about as long as one.
func (c *Candidate) drop(now time.Duration) {
	c.hold, c.pending, c.vacant = nil, nil, false
	c.notBefore = max(c.notBefore, now+2*c.ttl)
}

// Held returns the hold if it is valid.
func (c *Candidate) Held(now time.Duration) (Hold, bool) {
	if c.hold == nil || now >= c.hold.validUntil {
		return Hold{}, false
	}
	return *c.hold, true
}
