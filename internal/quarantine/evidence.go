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
	// trial is set if the part was being tried: no other request with it was sent.
	trial bool
}

// state is what a router does with the requests that hold a part.
type state int

const (
	// served means that they are sent as all others.
	served state = iota
	// held means that they are to come back, and are tried one at a time.
	held
	// quarantined means that they are refused for good.
	quarantined
)

// suspicion is the evidence on one part. Routers merge what they know of a part: a
// crash, its voidness, that it ended a trial, and proven are only ever added.
type suspicion struct {
	part uint64
	// crashes are sorted by time.
	crashes []crash
	// proven is set if a target survived a response on the part at any time.
	proven bool
	state  state
	// together are the parts with the same evidence, if it is quarantined or held.
	together *group
	changed  time.Time
	// trialSequence is the last request with the part that was let through on trial,
	// at trialSent.
	trialSequence uint64
	trialSent     time.Time
}

const (
	// crashThreshold is the number of crashes after which a part is held. Two may be
	// a coincidence, for a request that was repeated after a crash that it had nothing to
	// do with.
	crashThreshold = 3
	// minUnshared is the number of those crashes that must not speak against a part that
	// is held already.
	minUnshared = 2
	// trialCrashes is the number of trials that must have crashed their targets before a
	// part is quarantined while targets crash without it. Otherwise one is enough.
	trialCrashes = 2
	// calmSpan is the time around a crash in which no target must have crashed without
	// the part for the crash to be taken for its doing.
	calmSpan = 2 * time.Second
	// verdictDelay is the time after a crash that ended a trial in which peers tell what
	// else the target was running.
	verdictDelay = 300 * time.Millisecond
	// extraCrashes is added to it if some target has survived the part, which then may
	// only be harmful to a new version of the model, and again if no fewer targets crashed
	// without the part than with it.
	extraCrashes = 2
	// provenSpan is the time since the first crash before a part that some target has
	// survived is held. Requests that are sent meanwhile show whether targets
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

// suspect reports whether the evidence suffices to hold a part, or to hold on to one
// that was held or quarantined before.
func (t *Tracker) suspect(s *suspicion, before bool, now time.Time) bool {
	n := t.count(s)
	if before || n < crashThreshold {
		return n >= crashThreshold
	}
	if t.unshared(s) < minUnshared {
		return false
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

// harmful reports whether trials have shown that a part crashes targets. While targets
// crash without it, the end of one trial may be chance.
func (t *Tracker) harmful(s *suspicion, now time.Time) bool {
	n, calm := 0, false
	for _, c := range s.crashes {
		if c.trial && t.speaksAgainst(c, s) && now.Sub(c.at) >= verdictDelay && t.onlyTrial(c, s) {
			n++
			calm = calm || !t.crashesWithout(s, c.at)
		}
	}
	return n >= trialCrashes || calm
}

// onlyTrial reports whether no other part was being tried at the target of a crash that can
// be told apart from this one.
func (t *Tracker) onlyTrial(c crash, s *suspicion) bool {
	for _, o := range t.suspicions {
		if o.triedAt(c.target) && !o.sameEvidence(s) {
			return false
		}
	}
	return true
}

// triedAt reports whether a trial of the part crashed a target.
func (s *suspicion) triedAt(target uint32) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.target == target && c.trial && !c.void })
}

// crashesWithout reports whether a target crashed around a time for which neither a part
// nor one that is quarantined accounts.
func (t *Tracker) crashesWithout(s *suspicion, at time.Time) bool {
	for _, o := range t.suspicions {
		for _, c := range o.crashes {
			if c.at.Sub(at).Abs() < calmSpan && !t.explained[c.target] && !s.holds(c.target) {
				return true
			}
		}
	}
	return false
}

// unshared returns the number of crashes that speak against a part and against none that
// is held.
func (t *Tracker) unshared(s *suspicion) int {
	n := 0
	for _, c := range s.crashes {
		if t.speaksAgainst(c, s) && !t.shared[c.target] {
			n++
		}
	}
	return n
}

// crashesSince returns the number of crashes since a time that speak against no part that
// is held or quarantined.
func (t *Tracker) crashesSince(first time.Time) int {
	crashes := make(map[uint32]time.Time)
	for _, s := range t.suspicions {
		for _, c := range s.crashes {
			if !t.explained[c.target] && !t.shared[c.target] && !c.at.Before(first) {
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
	return !c.void && (s.state == quarantined || !t.explained[c.target])
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
	news := c.void && !known.void || c.trial && !known.trial
	known.void, known.trial = known.void || c.void, known.trial || c.trial
	if c.at.Before(known.at) {
		// Reports may be late, so the earliest time is the best one.
		known.at = c.at
		slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	}
	return news
}

// holds reports whether a target crashed on the part.
func (s *suspicion) holds(target uint32) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.target == target })
}

// trialsFailed returns the number of trials of the part that crashed their targets.
func (s *suspicion) trialsFailed() int {
	n := 0
	for _, c := range s.crashes {
		if c.trial && !c.void {
			n++
		}
	}
	return n
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

// judge decides which parts are held or quarantined. The strongest evidence goes first,
// since crashes that a quarantined part explains don't speak against others, and those
// that speak against a held one do so less. Parts with the same evidence can't be told
// apart, and are judged together.
func (t *Tracker) judge(now time.Time) {
	if len(t.suspicions) == 0 {
		return
	}
	before := make(map[uint64]state)
	for part, s := range t.suspicions {
		if s.state != served {
			before[part] = s.state
		}
	}
	var accepted []*suspicion
	for _, s := range t.byStrength(before) {
		s.state, s.together = served, nil
		if i := slices.IndexFunc(accepted, s.sameEvidence); i >= 0 {
			s.state, s.together = accepted[i].state, accepted[i].together
			s.together.parts = append(s.together.parts, s.part)
			continue
		}
		if !t.suspect(s, before[s.part] != served, now) {
			continue
		}
		s.state, s.together = held, &group{parts: []uint64{s.part}}
		marked := t.shared
		if t.harmful(s, now) {
			s.state, marked = quarantined, t.explained
		}
		accepted = append(accepted, s)
		for _, c := range s.crashes {
			marked[c.target] = marked[c.target] || !c.void
		}
	}
	for _, s := range t.suspicions {
		if s.state != before[s.part] {
			s.changed = now
			t.addVerdict(s, now)
		}
	}
}

// byStrength returns the suspicions with evidence enough for a verdict, the strongest
// first, by all of their crashes: those that crashed targets when tried, and of equals
// those that were held or quarantined before.
func (t *Tracker) byStrength(before map[uint64]state) []*suspicion {
	clear(t.explained)
	clear(t.shared)
	var ranked []*suspicion
	for _, s := range t.suspicions {
		if t.count(s) >= crashThreshold {
			ranked = append(ranked, s)
		} else {
			s.state, s.together = served, nil
		}
	}
	slices.SortFunc(ranked, func(a, b *suspicion) int {
		return cmp.Or(-cmp.Compare(a.trialsFailed(), b.trialsFailed()), compareBool(a.proven, b.proven), -cmp.Compare(t.count(a), t.count(b)),
			-cmp.Compare(before[a.part], before[b.part]), -cmp.Compare(a.crashedTargets(), b.crashedTargets()), cmp.Compare(a.part, b.part))
	})
	return ranked
}

// group holds parts that are quarantined together: only requests that hold all of them are
// refused for good.
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
		-cmp.Compare(a.state, b.state), -compareBool(t.count(a) > 0, t.count(b) > 0), compareBool(a.proven, b.proven),
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
		if s.state == quarantined && now.Before(s.trialStart(quarantined).Add(maxQuarantine)) {
			continue
		}
		if s.state == quarantined {
			s.state, s.together = served, nil
			t.addVerdict(s, now)
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) >= evidenceAge })
		if len(s.crashes) == 0 && now.Sub(s.changed) >= evidenceAge {
			delete(t.suspicions, part)
		}
	}
	t.judge(now)
}
