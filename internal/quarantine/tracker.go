// Package quarantine finds out which parts of prompts crash targets, and has them
// refused. Each router records which requests a target was running when it crashed
// and which responses targets survived, and routers merge this evidence. A part is held
// after several crashes if no target is known to have survived it since the first of
// them: its requests are sent one at a time. It is quarantined once such a trial has
// crashed its target. The package does no I/O, starts no goroutine and reads no clock.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one start of a target.
func Incarnation(targetID string, startedUnixMilli int64) uint32 {
	return uint32(mix(xxhash.Sum64String(targetID) ^ mix(uint64(startedUnixMilli))))
}

// Tracker holds the evidence that one router knows. It is not safe for concurrent use.
type Tracker struct {
	self       uint64
	members    []uint64
	runs       *runs
	suspicions map[uint64]*suspicion
	proven     provenParts
	// explained holds the crashed targets whose crashes a quarantined part explains, and
	// shared those whose crashes speak against a part that is held.
	explained, shared map[uint32]bool
	// lastAlive holds, for the targets of runs, when the newest request was sent to
	// which the target responded.
	lastAlive map[uint32]time.Time
	news      bool
	verdicts  []Verdict
}

// New returns a tracker without evidence for the router with a name.
func New(self string) *Tracker {
	return &Tracker{
		self: xxhash.Sum64String(self), runs: newRuns(), suspicions: make(map[uint64]*suspicion),
		explained: make(map[uint32]bool), shared: make(map[uint32]bool), lastAlive: make(map[uint32]time.Time),
	}
}

// SetMembers sets the names of the fleet's routers, which try quarantined parts in
// turn.
func (t *Tracker) SetMembers(names []string) {
	t.members = t.members[:0]
	for _, name := range names {
		t.members = append(t.members, xxhash.Sum64String(name))
	}
}

// Sent records that a request was sent to a target. parts are the parts of its prompt
// that other requests may share.
func (t *Tracker) Sent(sequence uint64, target uint32, parts []uint64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	r := &run{sequence: sequence, target: target, parts: parts, sent: now}
	for _, part := range parts {
		if s := t.suspicions[part]; s.stateAmong(parts) != served {
			s.trialSequence, s.trialSent = sequence, now
			r.tries = append(r.tries, part)
		}
	}
	t.runs.add(r)
}

// Began records that the response to a request began.
func (t *Tracker) Began(sequence uint64, now time.Time) {
	r := t.runs.bySequence[sequence]
	if r == nil {
		return
	}
	if r.began.IsZero() {
		r.began = now
	}
	t.targetAlive(r, now)
}

// Ended records the end of a request. answered is set if its target sent the whole
// response, and ran is false if the target certainly did not run it.
func (t *Tracker) Ended(sequence uint64, answered, ran bool, now time.Time) {
	r := t.runs.bySequence[sequence]
	if r == nil {
		return
	}
	r.ended = now
	if answered {
		t.targetAlive(r, now)
	}
	t.runs.expire(r.target, now)
	if !ran {
		t.runs.remove(r)
	}
}

// targetAlive records that the target of a run responds.
func (t *Tracker) targetAlive(r *run, now time.Time) {
	t.runs.targetAlive(r.target, now, func(r *run) { t.survived(r, now) })
	if !r.sent.After(t.lastAlive[r.target]) {
		return
	}
	t.lastAlive[r.target] = r.sent
	t.refute(r.target, r.sent, now)
}

// Crash is what a router knows of a target's crash.
type Crash struct {
	// Target is the incarnation that crashed.
	Target uint32
	// Suspects is the number of requests during which it may have begun a response
	// that it did not survive, and Parts holds the shared parts of their prompts.
	Suspects int
	Parts    []uint64
}

// Crashed records the crash of a target.
func (t *Tracker) Crashed(target uint32, now time.Time) Crash {
	c := t.crashed(target, now, now)
	t.judge(now)
	return c
}

// crashed adds a crash to the evidence on the parts that the target was running for this
// router.
func (t *Tracker) crashed(target uint32, at, now time.Time) Crash {
	c := Crash{Target: target}
	tried := make(map[uint64]uint64)
	for _, r := range t.runs.onCrash(target, at) {
		c.Suspects++
		c.Parts = append(c.Parts, r.parts...)
		for _, part := range r.tries {
			tried[part] = r.sequence
		}
	}
	slices.Sort(c.Parts)
	c.Parts = slices.Compact(c.Parts)
	for _, part := range c.Parts {
		s := t.suspicionOf(part, crashThreshold)
		if s == nil {
			continue
		}
		sequence, trial := tried[part]
		added := crash{target: target, at: at, trial: trial}
		if trial && s.holds(target) {
			// The view may be too old to show that the target had started again.
			added.target = uint32(mix(uint64(target) ^ mix(sequence)))
		}
		if s.add(added) {
			s.changed, t.news = now, true
		}
	}
	return c
}

// Retain drops what is known of the targets for which keep returns false, besides the
// evidence on parts and the requests that have not ended.
func (t *Tracker) Retain(keep func(target uint32) bool) {
	for _, r := range t.runs.bySequence {
		if !keep(r.target) && !r.ended.IsZero() {
			t.runs.remove(r)
		}
	}
	for target := range t.lastAlive {
		if !keep(target) {
			delete(t.lastAlive, target)
		}
	}
}
