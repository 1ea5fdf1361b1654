// Package quarantine finds out which parts of prompts crash targets. It records
// which requests a target was running when it crashed, and for which ones it stayed
// alive. The package does no I/O, starts no goroutine and reads no clock.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one start of a target.
func Incarnation(targetID string, startedUnixMilli int64) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	// WriteString of a digest never returns an error.
	_, _ = digest.WriteString(targetID)
	var started [8]byte
	for i := range started {
		started[i] = byte(startedUnixMilli >> (8 * i))
	}
	_, _ = digest.Write(started[:])
	return uint32(digest.Sum64())
}

// Tracker holds the evidence of one router. It is not safe for concurrent use.
type Tracker struct {
	runs *runs
}

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{runs: newRuns()} }

// Sent records that a request was sent to a target. parts are the parts of its prompt
// that other requests may share.
func (t *Tracker) Sent(sequence uint64, target uint32, parts []uint64) {
	if len(parts) > 0 {
		t.runs.add(&run{sequence: sequence, target: target, parts: parts})
	}
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
	t.targetAlive(r.target, now)
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
		t.targetAlive(r.target, now)
	}
	t.runs.expire(r.target, now)
	if !ran {
		t.runs.remove(r)
	}
}

func (t *Tracker) targetAlive(target uint32, now time.Time) {
	t.runs.targetAlive(target, now, func(*run) {})
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
	c := Crash{Target: target}
	for _, r := range t.runs.onCrash(target, now) {
		c.Suspects++
		c.Parts = append(c.Parts, r.parts...)
	}
	slices.Sort(c.Parts)
	c.Parts = slices.Compact(c.Parts)
	return c
}

// Retain drops the runs at targets for which keep returns false.
func (t *Tracker) Retain(keep func(target uint32) bool) {
	for _, r := range t.runs.bySequence {
		if !keep(r.target) && !r.ended.IsZero() {
			t.runs.remove(r)
		}
	}
}
