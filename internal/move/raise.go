package move

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// routeEvidence is the number of the new version's answers that a route
	// needs before it follows the level.
	routeEvidence = 20
	// loadEvidence is the number of answers under high load that the new version
	// needs before it takes all traffic, where the old one runs under high load.
	loadEvidence = 20
	// highLoadPart is the part of the old version's answers under high load from
	// which on it counts as running under high load.
	highLoadPart = 0.1
	// plentifulEvidence is the number of answers at one level that stand in for
	// high load which the new version never sees.
	plentifulEvidence = 500
	// readyPart is the part of the targets for a level that must be ready.
	readyPart = 0.75
	// doubtFor is how long doubts in a cell hold back a raise when no further
	// answers come in it.
	doubtFor = 2 * time.Minute
	// leastDwell is the shortest time at one level.
	leastDwell = 2 * time.Second
	// idleAfter is the time without a start after which a version gets no work.
	idleAfter = 5 * time.Second
	// frozenAfter is the time between two steps after which the process counts as
	// having been frozen.
	frozenAfter = 3 * time.Second
	// silentAfter is the least time after which a target that does not report is
	// left out of account.
	silentAfter = 30 * time.Second
	// silentReports is the number of reports that it must have missed by then.
	silentReports = 3
)

// evidenceForLevel is the number of the new version's answers at a level before
// the next one.
var evidenceForLevel = [...]uint64{40, 80, 160}

// Fleet names the targets that the configuration has for a move.
type Fleet struct {
	// Old names the targets of the old version.
	Old []string
	// New names the targets of the new version.
	New []string
}

// silentAfter returns the time after which a target that does not report is left
// out of account.
func (f Fleet) silentAfter() time.Duration {
	return max(silentAfter, silentReports*f.longestInterval())
}

// Step raises the level by one if the evidence suffices. It returns why it does
// not, or an empty text if there is nothing left to raise.
func (j *Judge) Step(f Fleet, now time.Time) string {
	j.notice(now)
	if j.badReason != "" {
		return j.badReason
	}
	j.clearRoutes()
	if j.level < FullLevel {
		if missing := j.missing(f, now); missing != "" {
			return missing
		}
		j.setLevel(j.level+1, now)
	}
	if j.level == FullLevel {
		return j.clearRest()
	}
	return fmt.Sprintf("at level %d of %d", j.level, FullLevel)
}

// notice forgets what targets do at this moment if the process was frozen, so
// that nothing is concluded from their silence before they could speak.
func (j *Judge) notice(now time.Time) {
	if !j.stepped.IsZero() && now.Sub(j.stepped) > frozenAfter {
		j.started = now
		for _, r := range j.reporters {
			r.heard = time.Time{}
		}
	}
	j.stepped = now
}

// heardSince returns when a target was last heard, or when the judge began to
// listen.
func (j *Judge) heardSince(r *reporter) time.Time {
	if r == nil || r.heard.IsZero() {
		return j.started
	}
	return r.heard
}

func (j *Judge) setLevel(level uint32, now time.Time) {
	j.level = level
	j.levelSince = now
	j.levelStart = j.total.new.Answers
}

// missing says what the next level still needs.
func (j *Judge) missing(f Fleet, now time.Time) string {
	next := j.level + 1
	need := int(math.Ceil(ladder[next] * float64(len(f.New)) * readyPart))
	answers := j.total.new.Answers - j.levelStart
	remaining := j.declaration.Deadline.Sub(now)
	dwell := max(leastDwell, remaining/time.Duration(2*(FullLevel-j.level)))
	switch ready := j.ready(f, now); {
	case ready < max(1, need):
		return fmt.Sprintf("%d of %d targets needed for level %d are ready", ready, max(1, need), next)
	case answers < evidenceForLevel[j.level]:
		return fmt.Sprintf("%d of %d answers needed for level %d", answers, evidenceForLevel[j.level], next)
	case now.Sub(j.levelSince) < dwell:
		return fmt.Sprintf("level %d follows after %s", next, (dwell - now.Sub(j.levelSince)).Round(time.Second))
	case next == FullLevel && !j.provedUnderLoad(answers):
		return "too few answers under high load"
	}
	return j.suspicion(now)
}

// ready returns how many targets of the new version can serve.
func (j *Judge) ready(f Fleet, now time.Time) int {
	n := 0
	for _, target := range f.New {
		r := j.reporters[target]
		if r != nil && r.version == j.declaration.To && r.ready && now.Sub(r.heard) < f.silentAfter() {
			n++
		}
	}
	return n
}

// provedUnderLoad reports whether the new version was seen under the load that
// the old one bears.
func (j *Judge) provedUnderLoad(answers uint64) bool {
	high := j.cells[Cell{ByLoad, "", LoadHigh}]
	if high == nil || float64(high.old.Answers) < highLoadPart*float64(j.total.old.Answers) {
		return true
	}
	return high.new.Answers >= loadEvidence || answers >= plentifulEvidence
}

// suspicion names a test that is on its way to an alarm.
func (j *Judge) suspicion(now time.Time) string {
	for cell, c := range j.cells {
		if now.Sub(c.lastNew) >= doubtFor {
			continue
		}
		if c.failed.suspicious() || c.refused.suspicious() || c.firstToken.suspicious() || c.tokenGap.suspicious() {
			return fmt.Sprintf("doubts about %s", cell)
		}
	}
	return ""
}

// clearRoutes lets routes with evidence of their own follow the level.
func (j *Judge) clearRoutes() {
	for cell, c := range j.cells {
		if cell.isRoute() && c.new.Answers >= routeEvidence {
			j.cleared[cell.Key] = true
		}
	}
}

// clearRest lets routes that are too rare to judge follow the full level once
// every other one does. It returns which routes it waits for.
func (j *Judge) clearRest() string {
	if j.cleared[AllRoutes] {
		return ""
	}
	var waiting []string
	for cell, c := range j.cells {
		frequent := c.old.Answers+c.new.Answers >= routeEvidence
		if cell.isRoute() && frequent && !j.cleared[cell.Key] {
			waiting = append(waiting, cell.Key)
		}
	}
	if len(waiting) == 0 {
		j.cleared[AllRoutes] = true
		return ""
	}
	slices.Sort(waiting)
	return fmt.Sprintf("too few answers on %d routes, among them %q", len(waiting), waiting[0])
}

// idle reports whether targets start no work any more. A target that has been
// silent for long is left out of account and named.
func (j *Judge) idle(targets []string, version string, after time.Duration, now time.Time, quiet func(*reporter) bool) (idle bool, silent []string) {
	for _, target := range targets {
		r := j.reporters[target]
		if now.Sub(j.heardSince(r)) >= after {
			silent = append(silent, target)
			continue
		}
		if r == nil || r.heard.IsZero() || r.version != version || !quiet(r) {
			return false, nil
		}
	}
	return true, silent
}

// Progress is what the record's state machine needs to know of the evidence.
type Progress struct {
	// Bad is the reason why the new version is bad, or empty.
	Bad string
	// Missing says what the next raise needs, or is empty at the full share.
	Missing string
	// Level and Routes are how far the new version is cleared.
	Level  uint32
	Routes []string
	// OldIdle says that no target of the old version starts work any more.
	OldIdle bool
	// NewIdle says that no target of the new version starts or runs work.
	NewIdle bool
	// Silent names targets that have not reported for long.
	Silent []string
	// Late says that the deadline has passed.
	Late bool
	// Evidence sums the counts up, for operators.
	Evidence string
}

// Progress sums the evidence up. Missing is the answer of the last Step.
func (j *Judge) Progress(f Fleet, missing string, now time.Time) Progress {
	verdict := j.Verdict()
	p := Progress{
		Bad:     j.badReason,
		Missing: missing,
		Level:   verdict.GetLevel(),
		Routes:  verdict.GetRoutes(),
		Late:    !now.Before(j.declaration.Deadline),
		Evidence: fmt.Sprintf("%s: %d answers, %d failed; %s: %d answers, %d failed; %d of %d targets ready",
			j.declaration.From, j.total.old.Answers, j.total.old.Failed,
			j.declaration.To, j.total.new.Answers, j.total.new.Failed, j.ready(f, now), len(f.New)),
	}
	if j.badReason != "" {
		p.NewIdle, p.Silent = j.idle(f.New, j.declaration.To, f.silentAfter(), now, func(r *reporter) bool {
			return r.informed && r.running == 0
		})
		return p
	}
	p.OldIdle, p.Silent = j.idle(f.Old, j.declaration.From, f.silentAfter(), now, func(r *reporter) bool {
		return r.heard.Sub(r.startedAt) >= idleAfter
	})
	return p
}
