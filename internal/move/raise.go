package move

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// minRouteAnswers is the number of the new version's answers on a route before
	// the route gets the share of the level.
	minRouteAnswers = 20
	// minHighLoadAnswers is the number of answers under high load that the new
	// version needs before it gets all traffic, if the old one runs under high
	// load.
	minHighLoadAnswers = 20
	// minHighLoadFraction is the fraction of the old version's answers that must
	// be under high load for it to count as running under high load.
	minHighLoadFraction = 0.1
	// minAnswersWithoutHighLoad is the number of answers at one level that
	// suffices if the new version never gets high load.
	minAnswersWithoutHighLoad = 500
	// minReadyFraction is the fraction of the targets for a level that must be
	// ready.
	minReadyFraction = 0.75
	// suspicionTTL is how long a suspicion in a cell prevents the next level if
	// the new version gives no further answers in it.
	suspicionTTL = 2 * time.Minute
	// minDwell is the minimum time at one level.
	minDwell = 2 * time.Second
	// idleAfter is the time without a started request after which a target of the
	// old version counts as idle.
	idleAfter = 5 * time.Second
	// pauseThreshold is the time between two steps after which the process counts
	// as having been paused.
	pauseThreshold = 3 * time.Second
	// minSilenceTimeout is the minimum time after which a target that does not
	// report is ignored.
	minSilenceTimeout = 30 * time.Second
	// minMissedReports is the number of reports that it must have missed by then.
	minMissedReports = 3
)

// minAnswersAtLevel is the number of the new version's answers at each level
// before the next one.
var minAnswersAtLevel = [...]uint64{40, 80, 160}

// Fleet lists the targets that the configuration has for a move.
type Fleet struct {
	// Old lists the targets of the old version.
	Old []string
	// New lists the targets of the new version.
	New []string
}

// silenceTimeout returns the time after which a target that does not report is
// ignored.
func (f Fleet) silenceTimeout() time.Duration {
	return max(minSilenceTimeout, minMissedReports*f.maxReportInterval())
}

// Step raises the level by one if the evidence suffices. It returns what is
// missing, or an empty string if there is nothing left to raise.
func (j *Judge) Step(f Fleet, now time.Time) string {
	j.detectPause(now)
	if j.badReason != "" {
		return j.badReason
	}
	j.clearRoutes()
	if j.level < FullLevel {
		if missing := j.missingForNextLevel(f, now); missing != "" {
			return missing
		}
		j.setLevel(j.level+1, now)
	}
	if j.level == FullLevel {
		return j.clearRareRoutes()
	}
	return fmt.Sprintf("at level %d of %d", j.level, FullLevel)
}

// detectPause discards the times of the last reports if the process was paused,
// so that no target counts as silent or idle before it could report again.
func (j *Judge) detectPause(now time.Time) {
	if !j.lastStep.IsZero() && now.Sub(j.lastStep) > pauseThreshold {
		j.observationStart = now
		for _, r := range j.reporters {
			r.lastReport = time.Time{}
		}
	}
	j.lastStep = now
}

// silentSince returns the time of a target's last report. If there is none, it
// returns the time from which reports are expected.
func (j *Judge) silentSince(r *reporter) time.Time {
	if r == nil || r.lastReport.IsZero() {
		return j.observationStart
	}
	return r.lastReport
}

func (j *Judge) setLevel(level uint32, now time.Time) {
	j.level = level
	j.levelSince = now
	j.levelStartAnswers = j.total.new.Answers
}

// missingForNextLevel returns what the next level still requires.
func (j *Judge) missingForNextLevel(f Fleet, now time.Time) string {
	next := j.level + 1
	needed := int(math.Ceil(levelShares[next] * float64(len(f.New)) * minReadyFraction))
	answers := j.total.new.Answers - j.levelStartAnswers
	remaining := j.declaration.Deadline.Sub(now)
	dwell := max(minDwell, remaining/time.Duration(2*(FullLevel-j.level)))
	switch ready := j.ready(f, now); {
	case ready < max(1, needed):
		return fmt.Sprintf("%d of %d targets needed for level %d are ready", ready, max(1, needed), next)
	case answers < minAnswersAtLevel[j.level]:
		return fmt.Sprintf("%d of %d answers needed for level %d", answers, minAnswersAtLevel[j.level], next)
	case now.Sub(j.levelSince) < dwell:
		return fmt.Sprintf("level %d follows after %s", next, (dwell - now.Sub(j.levelSince)).Round(time.Second))
	case next == FullLevel && !j.testedUnderHighLoad(answers):
		return "too few answers under high load"
	}
	return j.suspicion(now)
}

// ready returns the number of targets of the new version that are ready.
func (j *Judge) ready(f Fleet, now time.Time) int {
	n := 0
	for _, target := range f.New {
		r := j.reporters[target]
		if r != nil && r.version == j.declaration.To && r.ready && now.Sub(r.lastReport) < f.silenceTimeout() {
			n++
		}
	}
	return n
}

// testedUnderHighLoad reports whether the new version has enough answers under
// high load, where the old one runs under high load.
func (j *Judge) testedUnderHighLoad(answers uint64) bool {
	high := j.cells[Cell{ByLoad, "", LoadHigh}]
	if high == nil || float64(high.old.Answers) < minHighLoadFraction*float64(j.total.old.Answers) {
		return true
	}
	return high.new.Answers >= minHighLoadAnswers || answers >= minAnswersWithoutHighLoad
}

// suspicion describes a cell with a suspicious test, or returns an empty
// string.
func (j *Judge) suspicion(now time.Time) string {
	for cell, c := range j.cells {
		if now.Sub(c.lastNewAnswer) >= suspicionTTL {
			continue
		}
		if c.failed.suspicious() || c.refused.suspicious() || c.firstToken.suspicious() || c.tokenGap.suspicious() {
			return fmt.Sprintf("doubts about %s", cell)
		}
	}
	return ""
}

// clearRoutes clears routes with enough evidence of their own for the share of
// the level.
func (j *Judge) clearRoutes() {
	for cell, c := range j.cells {
		if cell.isRoute() && c.new.Answers >= minRouteAnswers {
			j.clearedRoutes[cell.Key] = true
		}
	}
}

// clearRareRoutes clears all routes, among them those too rare to judge, once
// every frequent route is cleared. It returns which routes are not cleared yet.
func (j *Judge) clearRareRoutes() string {
	if j.clearedRoutes[AllRoutes] {
		return ""
	}
	var uncleared []string
	for cell, c := range j.cells {
		frequent := c.old.Answers+c.new.Answers >= minRouteAnswers
		if cell.isRoute() && frequent && !j.clearedRoutes[cell.Key] {
			uncleared = append(uncleared, cell.Key)
		}
	}
	if len(uncleared) == 0 {
		j.clearedRoutes[AllRoutes] = true
		return ""
	}
	slices.Sort(uncleared)
	return fmt.Sprintf("too few answers on %d routes, among them %q", len(uncleared), uncleared[0])
}

// idle reports whether all targets are idle. Targets without a report for the
// given time are ignored and returned as silent.
func (j *Judge) idle(targets []string, version string, after time.Duration, now time.Time, isIdle func(*reporter) bool) (idle bool, silent []string) {
	for _, target := range targets {
		r := j.reporters[target]
		if now.Sub(j.silentSince(r)) >= after {
			silent = append(silent, target)
			continue
		}
		if r == nil || r.lastReport.IsZero() || r.version != version || !isIdle(r) {
			return false, nil
		}
	}
	return true, silent
}

// Progress is the input of the record's state machine.
type Progress struct {
	// Bad is the reason why the new version is bad, or empty.
	Bad string
	// Missing is what the next level requires, or empty at the full share.
	Missing string
	// Level and Routes are what the new version is cleared for.
	Level  uint32
	Routes []string
	// OldIdle is true if no target of the old version starts work any more.
	OldIdle bool
	// NewIdle is true if no target of the new version starts or runs work.
	NewIdle bool
	// Silent lists targets that have not reported within the silence timeout.
	Silent []string
	// Late is true if the deadline has passed.
	Late bool
	// Evidence summarizes the counts for operators.
	Evidence string
}

// Progress summarizes the evidence. Missing is the result of the last Step.
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
		p.NewIdle, p.Silent = j.idle(f.New, j.declaration.To, f.silenceTimeout(), now, func(r *reporter) bool {
			return r.hasVerdict && r.running == 0
		})
		return p
	}
	p.OldIdle, p.Silent = j.idle(f.Old, j.declaration.From, f.silenceTimeout(), now, func(r *reporter) bool {
		return r.lastReport.Sub(r.lastStart) >= idleAfter
	})
	return p
}
