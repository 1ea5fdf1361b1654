package quarantine

import (
	"slices"
	"time"
)

// Evidence is what a router tells its peers of one part.
type Evidence struct {
	Part uint64
	// Proven is set if some target survived a response on the part.
	Proven  bool
	Crashes []CrashEvidence
}

// strength returns the number of crashes that speak against the part.
func (e Evidence) strength() int {
	n := 0
	for _, c := range e.Crashes {
		if !c.Void {
			n++
		}
	}
	return n
}

// CrashEvidence is a crash that spoke against a part.
type CrashEvidence struct {
	// Target is the incarnation that crashed.
	Target uint32
	Age    time.Duration
	// Void is set if the crash speaks no longer against the part.
	Void bool
	// Trial is set if the part was being tried.
	Trial bool
}

// Limits of a report: the parts with the strongest evidence, and those whose evidence
// changed last; and the parts in a periodic report.
const (
	maxPeriodicParts  = 4
	maxStrongestParts = 6
	maxChangedParts   = 8
)

// Report returns the evidence on parts that are held, quarantined, or may soon be, for the
// periodic reports to peers. Longer reports would make these come too late.
func (t *Tracker) Report(now time.Time) []Evidence {
	report := t.report(now, func(s *suspicion) bool { return s.state != served || t.count(s) >= crashThreshold-1 })
	return report[:min(len(report), maxPeriodicParts)]
}

// NewsReport returns the strongest and the newest evidence, for peers at once.
func (t *Tracker) NewsReport(now time.Time) []Evidence {
	return t.report(now, func(s *suspicion) bool { return len(s.crashes) > 0 })
}

func (t *Tracker) report(now time.Time, include func(s *suspicion) bool) []Evidence {
	ranked := make([]*suspicion, 0, len(t.suspicions))
	for _, s := range t.suspicions {
		if include(s) {
			ranked = append(ranked, s)
		}
	}
	slices.SortFunc(ranked, t.compareStrength)
	if len(ranked) > maxStrongestParts {
		rest := ranked[maxStrongestParts:]
		slices.SortStableFunc(rest, func(a, b *suspicion) int { return b.changed.Compare(a.changed) })
		ranked = ranked[:maxStrongestParts+min(len(rest), maxChangedParts)]
	}
	report := make([]Evidence, 0, len(ranked))
	for _, s := range ranked {
		e := Evidence{Part: s.part, Proven: s.proven}
		for _, c := range s.crashes {
			e.Crashes = append(e.Crashes, CrashEvidence{c.target, now.Sub(c.at), c.void, c.trial})
		}
		report = append(report, e)
	}
	return report
}

// Merge adds the evidence of a peer.
func (t *Tracker) Merge(report []Evidence, now time.Time) {
	changed := false
	for _, e := range report {
		changed = t.mergePart(e, now) || changed
	}
	if changed {
		t.news = true
		t.judge(now)
	}
}

// mergePart adds the evidence on one part. It reports whether any of it was new, or the
// peer may soon hold the part and does not know all that speaks for it.
func (t *Tracker) mergePart(e Evidence, now time.Time) bool {
	s := t.suspicionOf(e.Part, e.strength())
	if s == nil {
		return false
	}
	changed := !s.proven && e.Proven
	peerBehind := s.proven && !e.Proven
	for _, c := range e.Crashes {
		if c.Age < 0 || c.Age >= maxQuarantine+evidenceAge {
			continue
		}
		changed = t.mergeCrash(s, c, now) || changed
		peerBehind = peerBehind || !c.Void && s.isVoid(c.Target)
	}
	changed = changed || peerBehind && e.strength() >= crashThreshold-1
	s.proven = s.proven || e.Proven
	if changed {
		s.changed = now
	}
	return changed
}

// mergeCrash adds a peer's crash to the evidence on a part. It reports whether anything was
// new.
func (t *Tracker) mergeCrash(s *suspicion, c CrashEvidence, now time.Time) bool {
	at := now.Add(-c.Age)
	void := c.Void || aliveAfter(at, t.lastAlive[c.Target])
	if !void && !s.holds(c.Target) {
		// A request of this router at the target may have ended before the crash.
		t.crashed(c.Target, at, now)
	}
	return s.add(crash{c.Target, at, void, c.Trial})
}

// TakeNews reports whether there is evidence since the last call that peers may not
// know.
func (t *Tracker) TakeNews() bool {
	news := t.news
	t.news = false
	return news
}
