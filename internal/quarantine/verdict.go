package quarantine

import (
	"slices"
	"time"
)

const (
	// minQuarantine is how long a part is quarantined after the last crash before one
	// request with it is tried. It doubles with each crash beyond the threshold, up to
	// maxQuarantine, so that a part that stays harmful costs a few targets an hour.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
	// trialTurn is how long one router of the fleet may try a part before it is the
	// turn of another one, whose callers may send such requests.
	trialTurn = 30 * time.Second
	// trialTimeout is the time after which a trial without a result may be repeated.
	trialTimeout = 20 * time.Second
)

// trialStart returns when a request with a quarantined part may be tried.
func (t *Tracker) trialStart(s *suspicion) time.Time {
	hold := minQuarantine
	for extra := t.count(s) - crashThreshold; extra > 0 && hold < maxQuarantine; extra-- {
		hold *= 2
	}
	return s.lastCrash().Add(min(hold, maxQuarantine))
}

// Blocked returns the first of the parts that is quarantined. It reports false if none
// is, or if this router may try one request with it.
func (t *Tracker) Blocked(parts []uint64, now time.Time) (part uint64, blocked bool) {
	for _, part := range parts {
		if s := t.suspicions[part]; s.blocks(parts) && !t.mayTry(s, now) {
			return part, true
		}
	}
	return 0, false
}

// blocks reports whether a part is quarantined, with all parts that are quarantined
// together with it among those of a request.
func (s *suspicion) blocks(parts []uint64) bool {
	if s == nil || !s.quarantined {
		return false
	}
	for _, part := range s.together.parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// BlockedSince is Blocked for a request that was let through before.
func (t *Tracker) BlockedSince(sequence uint64, parts []uint64) (part uint64, blocked bool) {
	for _, part := range parts {
		if s := t.suspicions[part]; s.blocks(parts) && s.trialSequence != sequence {
			return part, true
		}
	}
	return 0, false
}

// Suspected reports whether one more crash may quarantine one of the parts, so that a
// request which failed is not to be repeated.
func (t *Tracker) Suspected(parts []uint64) bool {
	for _, part := range parts {
		if s := t.suspicions[part]; s != nil && !s.proven && t.count(s) >= crashThreshold-1 {
			return true
		}
	}
	return false
}

// mayTry reports whether this router may try one request with a quarantined part.
func (t *Tracker) mayTry(s *suspicion, now time.Time) bool {
	since := now.Sub(t.trialStart(s))
	return since >= 0 && now.Sub(s.trialSent) >= trialTimeout && t.hasTurn(s.part, uint64(since/trialTurn))
}

// hasTurn reports whether this router is the first of the members in the order of
// rendezvous hashing for a part and a turn.
func (t *Tracker) hasTurn(part, turn uint64) bool {
	own := mix(t.self ^ mix(part+turn))
	for _, member := range t.members {
		if mix(member^mix(part+turn)) > own {
			return false
		}
	}
	return true
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Verdict is a change of what a router does with a part.
type Verdict struct {
	Part        uint64
	Quarantined bool
	// Crashes is the number of crashes that speak against the part, and SinceFirst the
	// time since the first of them.
	Crashes    int
	SinceFirst time.Duration
	// Proven is set if some target has survived a response on the part.
	Proven bool
}

// maxVerdicts bounds the verdicts that wait to be taken.
const maxVerdicts = 64

func (t *Tracker) addVerdict(s *suspicion, now time.Time) {
	v := Verdict{Part: s.part, Quarantined: s.quarantined, Crashes: t.count(s), Proven: s.proven}
	if len(s.crashes) > 0 {
		v.SinceFirst = now.Sub(s.crashes[0].at)
	}
	if len(t.verdicts) < maxVerdicts {
		t.verdicts = append(t.verdicts, v)
	}
}

// TakeVerdicts returns the verdicts since the last call.
func (t *Tracker) TakeVerdicts() []Verdict {
	v := t.verdicts
	t.verdicts = nil
	return v
}
