package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// crash is a crash of a target that had just begun, or was about to begin, a response
// on a part.
type crash struct {
	target uint32
	at     time.Time
	// void is set if the crash speaks no longer against the part: later a target
	// survived a response on it, or the target had not crashed at all.
	void bool
}

// suspicion is the evidence on one part. Routers merge what they know of a part: a
// crash, its voidness and proven are only ever added.
type suspicion struct {
	part uint64
	// crashes are sorted by time.
	crashes []crash
	// proven is set if a target survived a response on the part at any time.
	proven      bool
	quarantined bool
	// together are the parts with the same evidence, if it is quarantined.
	together *group
	changed  time.Time
	// trialSequence is the last request with the part that was let through on trial,
	// at trialSent.
	trialSequence uint64
	trialSent     time.Time
}

const (
	// crashThreshold is the number of crashes after which a part is quarantined. Two
	// may be a coincidence, for a request that was repeated after a crash that it had
	// nothing to do with.
	crashThreshold = 3
	// extraCrashes is added to it if some target has survived the part, which then may
	// only be harmful to a new version of the model, and again if no fewer targets crashed
	// without the part than with it.
	extraCrashes = 2
	// provenSpan is the time since the first crash before a part that some target has
	// survived is quarantined. Requests that are sent meanwhile show whether targets
	// still do.
	provenSpan = 5 * survivalTime / 2
	// simultaneousWindow is the time within which crashes count as one: they have a
	// cause that targets share, such as a lost rack.
	simultaneousWindow = 50 * time.Millisecond
	// RestartTime is the time within which a target that crashed can't have restarted.
	// What happens to it later may happen to another incarnation, although the view
	// doesn't show that yet.
	RestartTime = time.Second
	// evidenceAge is the age at which crashes no longer count.
	evidenceAge = 10 * time.Minute
	// maxSuspicions bounds the parts with evidence, and maxCrashes the crashes that are
	// kept of each.
	maxSuspicions = 512
	maxCrashes    = 8
	// replaceGap is by how much a crash must be later than those that are kept to take
	// the place of the oldest. It exceeds the error of ages in reports, so that routers
	// never tell each other the same crashes in turn.
	replaceGap = time.Second
)

// count returns the number of crashes that speak against a part.
func (t *Tracker) count(s *suspicion) int {
	n := 0
	var last time.Time
	for _, c := range s.crashes {
		if t.speaksAgainst(c, s) && (n == 0 || c.at.Sub(last) >= simultaneousWindow) {
			n, last = n+1, c.at
		}
	}
	return n
}

// guilty reports whether the evidence suffices to quarantine a part, or to keep one that
// was quarantined before.
func (t *Tracker) guilty(s *suspicion, before bool, now time.Time) bool {
	n := t.count(s)
	if before || n < crashThreshold {
		return n >= crashThreshold
	}
	required := crashThreshold
	if s.proven {
		required += extraCrashes
	}
	first := t.firstCrash(s)
	if t.crashesSince(first)-n >= n {
		required += extraCrashes
	}
	return n >= required && (!s.proven || now.Sub(first) >= provenSpan)
}

// crashesSince returns the number of crashes since a time that no quarantined part
// explains.
func (t *Tracker) crashesSince(first time.Time) int {
	crashes := make(map[uint32]time.Time)
	for _, s := range t.suspicions {
		for _, c := range s.crashes {
			if !t.explained[c.target] && !c.at.Before(first) {
				crashes[c.target] = c.at
			}
		}
	}
	n := 0
	var last time.Time
	for _, at := range slices.SortedFunc(maps.Values(crashes), time.Time.Compare) {
		if n == 0 || at.Sub(last) >= simultaneousWindow {
			n, last = n+1, at
		}
	}
	return n
}

// firstCrash returns when the first crash was that speaks against a part.
func (t *Tracker) firstCrash(s *suspicion) time.Time {
	for _, c := range s.crashes {
		if t.speaksAgainst(c, s) {
			return c.at
		}
	}
	return time.Time{}
}

// speaksAgainst reports whether a crash speaks against a part. One that a quarantined
// part explains does not speak against others.
func (t *Tracker) speaksAgainst(c crash, s *suspicion) bool {
	return !c.void && (s.quarantined || !t.explained[c.target])
}

// lastCrash returns when the last crash was that speaks against the part.
func (s *suspicion) lastCrash() time.Time {
	for _, c := range slices.Backward(s.crashes) {
		if !c.void {
			return c.at
		}
	}
	return time.Time{}
}

// add adds a crash or what is new about it. It reports whether anything was new.
func (s *suspicion) add(c crash) bool {
	i := slices.IndexFunc(s.crashes, func(o crash) bool { return o.target == c.target })
	if i < 0 {
		if len(s.crashes) >= maxCrashes {
			if c.at.Sub(s.crashes[len(s.crashes)-1].at) < replaceGap {
				return false
			}
			s.crashes = s.crashes[1:]
		}
		s.crashes = append(s.crashes, c)
		slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
		return true
	}
	known := &s.crashes[i]
	newlyVoid := c.void && !known.void
	known.void = known.void || c.void
	if c.at.Before(known.at) {
		// Reports may be late, so the earliest time is the best one.
		known.at = c.at
		slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	}
	return newlyVoid
}

// isVoid reports whether a crash is known to speak no longer against the part.
func (s *suspicion) isVoid(target uint32) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.target == target && c.void })
}

// voidIf makes the crashes void for which matches returns true. It reports whether
// there were any that were not void.
func (s *suspicion) voidIf(matches func(c crash) bool) bool {
	changed := false
	for i := range s.crashes {
		if c := &s.crashes[i]; !c.void && matches(*c) {
			c.void, changed = true, true
		}
	}
	return changed
}

// suspicionOf returns the suspicion of a part. If there is none it creates one, in place
// of the weakest if there are too many. That must be weaker than strength, the number
// of crashes that speak against the part; otherwise the result is nil.
func (t *Tracker) suspicionOf(part uint64, strength int) *suspicion {
	s := t.suspicions[part]
	if s != nil {
		return s
	}
	if len(t.suspicions) >= maxSuspicions {
		var weakest *suspicion
		for _, o := range t.suspicions {
			if weakest == nil || t.compareStrength(o, weakest) > 0 {
				weakest = o
			}
		}
		if t.count(weakest) >= strength {
			return nil
		}
		delete(t.suspicions, weakest.part)
	}
	s = &suspicion{part: part, proven: t.proven.contains(part)}
	t.suspicions[part] = s
	return s
}

// survived records that a target survived a response on parts which began at a time.
// Crashes before that time no longer speak against the parts.
func (t *Tracker) survived(r *run, now time.Time) {
	changed := false
	for _, part := range r.parts {
		t.proven.add(part, now)
		s := t.suspicions[part]
		if s == nil {
			continue
		}
		if s.voidIf(func(c crash) bool { return c.at.Before(r.began) }) || !s.proven {
			s.proven, s.changed, changed = true, now, true
		}
	}
	if changed {
		t.news = true
		t.judge(now)
	}
}

// refute makes a crash void for all parts: the target responded to a request that was
// sent after it, and too soon after it for a restart.
func (t *Tracker) refute(target uint32, sent, now time.Time) {
	changed := false
	for _, s := range t.suspicions {
		if s.voidIf(func(c crash) bool { return c.target == target && aliveAfter(c.at, sent) }) {
			s.changed, changed = now, true
		}
	}
	if changed {
		t.news = true
		t.judge(now)
	}
}

// aliveAfter reports whether a target did not crash at a time, since it responded to a
// request that was sent then.
func aliveAfter(crashed, sent time.Time) bool {
	return sent.After(crashed) && sent.Sub(crashed) < RestartTime
}

// judge decides which parts are quarantined. The strongest evidence goes first, since
// crashes that it explains don't speak against other parts. Parts with the same evidence
// can't be told apart, and are quarantined together.
func (t *Tracker) judge(now time.Time) {
	if len(t.suspicions) == 0 {
		return
	}
	before := make(map[uint64]bool)
	for part, s := range t.suspicions {
		if s.quarantined {
			before[part] = true
		}
	}
	clear(t.explained)
	var accepted []*suspicion
	for _, s := range t.byStrength(before) {
		quarantined := before[s.part]
		s.quarantined, s.together = false, nil
		if i := slices.IndexFunc(accepted, s.sameEvidence); i >= 0 {
			s.quarantined, s.together = true, accepted[i].together
			s.together.parts = append(s.together.parts, s.part)
			continue
		}
		if !t.guilty(s, quarantined, now) {
			continue
		}
		s.quarantined, s.together = true, &group{parts: []uint64{s.part}}
		accepted = append(accepted, s)
		for _, c := range s.crashes {
			t.explained[c.target] = t.explained[c.target] || !c.void
		}
	}
	for _, s := range t.suspicions {
		if s.quarantined != before[s.part] {
			s.changed = now
			t.addVerdict(s, now)
		}
	}
}

// byStrength returns the suspicions with evidence enough for a verdict, the strongest
// first, by all of their crashes. Of equals those that were quarantined before go first.
func (t *Tracker) byStrength(before map[uint64]bool) []*suspicion {
	clear(t.explained)
	var ranked []*suspicion
	for _, s := range t.suspicions {
		if t.count(s) >= crashThreshold {
			ranked = append(ranked, s)
		} else {
			s.quarantined, s.together = false, nil
		}
	}
	slices.SortFunc(ranked, func(a, b *suspicion) int {
		return cmp.Or(compareBool(a.proven, b.proven), -cmp.Compare(t.count(a), t.count(b)),
			-compareBool(before[a.part], before[b.part]), -cmp.Compare(a.crashedTargets(), b.crashedTargets()), cmp.Compare(a.part, b.part))
	})
	return ranked
}

// group holds parts that are quarantined together: requests that hold all of them are
// refused.
type group struct{ parts []uint64 }

// crashedTargets returns the number of targets whose crashes speak against the part,
// also of those that count as one.
func (s *suspicion) crashedTargets() int {
	n := 0
	for _, c := range s.crashes {
		if !c.void {
			n++
		}
	}
	return n
}

// sameEvidence reports whether the same crashes speak against two parts.
func (s *suspicion) sameEvidence(o *suspicion) bool {
	return s.proven == o.proven && s.holdsAll(o) && o.holdsAll(s)
}

// holdsAll reports whether all crashes that speak against another part speak against
// this one.
func (s *suspicion) holdsAll(o *suspicion) bool {
	for _, c := range o.crashes {
		if !c.void && !slices.ContainsFunc(s.crashes, func(own crash) bool { return own.target == c.target && !own.void }) {
			return false
		}
	}
	return true
}

// compareStrength orders suspicions, the strongest first.
func (t *Tracker) compareStrength(a, b *suspicion) int {
	return cmp.Or(
		-compareBool(a.quarantined, b.quarantined), -compareBool(t.count(a) > 0, t.count(b) > 0), compareBool(a.proven, b.proven),
		-cmp.Compare(t.count(a), t.count(b)),
		-a.changed.Compare(b.changed), cmp.Compare(a.part, b.part),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Expire drops evidence that is too old, and judges parts for which time had to pass.
func (t *Tracker) Expire(now time.Time) {
	for part, s := range t.suspicions {
		if s.quarantined && now.Before(t.trialStart(s).Add(maxQuarantine)) {
			continue
		}
		if s.quarantined {
			s.quarantined, s.together = false, nil
			t.addVerdict(s, now)
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) >= evidenceAge })
		if len(s.crashes) == 0 && now.Sub(s.changed) >= evidenceAge {
			delete(t.suspicions, part)
		}
	}
	t.judge(now)
}
