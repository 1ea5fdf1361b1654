package quarantine

import (
	"slices"
	"time"
)

const (
	// holdTime is how long a part is held after the last crash before one request with it
	// is tried. Requests that were sent before show meanwhile whether targets survive them.
	holdTime = 3 * survivalTime / 2
	// holdTurn is how long it is the turn of the same routers to try a part that is held,
	// and the time after which one of them may try it again. Turn by turn one router more
	// may try it, up to maxHoldTriers.
	holdTurn      = 2 * time.Second
	maxHoldTriers = 3
	// minQuarantine is how long a part is quarantined after the last crash before one
	// request with it is tried. It doubles with each further trial that crashes a target,
	// up to maxQuarantine, so that a part that stays harmful costs a few targets an hour.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
	// trialTurn is how long one router of the fleet may try a part before it is the
	// turn of another one, whose callers may send such requests.
	trialTurn = 30 * time.Second
	// trialTimeout is the time after which a trial without a result may be repeated.
	trialTimeout = 20 * time.Second
)

// trialStart returns when a request with a part in a state may be tried.
func (s *suspicion) trialStart(in state) time.Time {
	if in == held {
		return s.lastCrash().Add(holdTime)
	}
	hold := minQuarantine
	for extra := s.trialsFailed() - 1; extra > 0 && hold < maxQuarantine; extra-- {
		hold *= 2
	}
	return s.lastCrash().Add(min(hold, maxQuarantine))
}

// Block is why a request must not be sent.
type Block struct {
	Part uint64
	// RetryAfter is when the request may be sent again, if its part is only held; 0 if it
	// is quarantined.
	RetryAfter time.Duration
}

// Blocked returns the part because of which a new request must not be sent. It reports
// false if there is none, or if this router may try the request.
func (t *Tracker) Blocked(parts []uint64, now time.Time) (b Block, blocked bool) {
	return t.firstBlock(parts, func(s *suspicion, in state) bool { return !t.mayTry(s, in, now) })
}

// firstBlock returns the first of a request's parts that is quarantined, or else the
// first that is held, and for which forbids returns true.
func (t *Tracker) firstBlock(parts []uint64, forbids func(s *suspicion, in state) bool) (b Block, blocked bool) {
	for _, part := range parts {
		s := t.suspicions[part]
		in := s.stateAmong(parts)
		switch {
		case in == served || !forbids(s, in):
		case in == quarantined:
			return Block{Part: part}, true
		case !blocked:
			b, blocked = Block{part, holdRetryAfter}, true
		}
	}
	return b, blocked
}

// holdRetryAfter is when callers come back with a part that is held.
const holdRetryAfter = holdTime

// stateAmong returns the state of a part for a request with some parts. Parts that are
// quarantined together are only held for one that does not hold all of them: either may be
// the harmful one.
func (s *suspicion) stateAmong(parts []uint64) state {
	switch {
	case s == nil:
		return served
	case s.state != quarantined:
		return s.state
	}
	for _, part := range s.together.parts {
		if !slices.Contains(parts, part) {
			return held
		}
	}
	return quarantined
}

// BlockedSince is Blocked for a request that was let through before.
func (t *Tracker) BlockedSince(sequence uint64, parts []uint64) (b Block, blocked bool) {
	return t.firstBlock(parts, func(s *suspicion, _ state) bool { return s.trialSequence != sequence })
}

// Suspected reports whether one of the parts is held or quarantined, or may be after one
// more crash, so that a request which failed is not to be repeated.
func (t *Tracker) Suspected(parts []uint64) bool {
	for _, part := range parts {
		s := t.suspicions[part]
		if s.stateAmong(parts) != served || s != nil && !s.proven && t.count(s) >= crashThreshold-1 {
			return true
		}
	}
	return false
}

// mayTry reports whether this router may try one request with a part in a state.
func (t *Tracker) mayTry(s *suspicion, in state, now time.Time) bool {
	since := now.Sub(s.trialStart(in))
	if since < 0 {
		return false
	}
	if in == held {
		turn := int(since / holdTurn)
		return now.Sub(s.trialSent) >= holdTurn && t.hasTurn(s.part, turn, min(1+turn, maxHoldTriers))
	}
	return now.Sub(s.trialSent) >= trialTimeout && t.hasTurn(s.part, int(since/trialTurn), 1)
}

// hasTurn reports whether this router is among the first n of the members in the order of
// rendezvous hashing for a part and a turn.
func (t *Tracker) hasTurn(part uint64, turn, n int) bool {
	key := mix(part + uint64(turn))
	own, before := mix(t.self^key), 0
	for _, member := range t.members {
		if mix(member^key) > own {
			before++
		}
	}
	return before < n
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
	Part uint64
	// Held is set if requests with the part are tried one at a time, and Quarantined if
	// they are refused for good.
	Held, Quarantined bool
	// Crashes is the number of crashes that speak against the part, and SinceFirst the
	// time since the first of them.
	Crashes    int
	SinceFirst time.Duration
	// TrialsFailed is the number of trials that crashed their targets.
	TrialsFailed int
	// Proven is set if some target has survived a response on the part.
	Proven bool
}

// maxVerdicts bounds the verdicts that wait to be taken.
const maxVerdicts = 64

func (t *Tracker) addVerdict(s *suspicion, now time.Time) {
	v := Verdict{
		Part: s.part, Held: s.state == held, Quarantined: s.state == quarantined, Crashes: t.count(s),
		TrialsFailed: s.trialsFailed(), Proven: s.proven,
	}
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
