package move

import (
	"fmt"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Judge merges the evidence on one move from all targets and decides whether
// the new version is bad or may get a larger share. It is soft state: a judge
// that starts empty is rebuilt from the reporters' running totals. It is not
// safe for concurrent use.
type Judge struct {
	declaration      Declaration
	observationStart time.Time
	lastStep         time.Time
	reporters        map[string]*reporter
	cells            map[Cell]*comparison
	total            comparison

	level             uint32
	levelSince        time.Time
	levelStartAnswers uint64
	clearedRoutes     map[string]bool
	badReason         string
}

// reporter is the state of one reporting target.
type reporter struct {
	incarnation     uint64
	version         string
	lastReport      time.Time
	startedRequests uint64
	lastStart       time.Time
	running         uint64
	ready           bool
	hasVerdict      bool
	cells           map[Cell]*Counts
}

// comparison holds the counts of one cell for the old and the new version.
type comparison struct {
	old, new Counts
	recent   baseline
	// lastNewAnswer is when the new version last answered in this cell.
	lastNewAnswer time.Time

	failed, refused, firstToken, tokenGap cusum
}

// NewJudge returns a judge without evidence.
func NewJudge(d Declaration, now time.Time) *Judge {
	return &Judge{
		declaration:      d,
		observationStart: now,
		reporters:        make(map[string]*reporter),
		cells:            make(map[Cell]*comparison),
		levelSince:       now,
		clearedRoutes:    make(map[string]bool),
	}
}

// SetDeclaration sets a declaration with a changed deadline or small share. It
// must have the digest of the previous one.
func (j *Judge) SetDeclaration(d Declaration) { j.declaration = d }

// Merge merges a target's running totals. Repeated and outdated reports do not
// change the counts.
func (j *Judge) Merge(r *zinniaquayv1.ReportEvidenceRequest, now time.Time) {
	d := j.declaration
	if r.GetMoveDigest() != d.Digest() || (r.GetVersion() != d.From && r.GetVersion() != d.To) {
		return
	}
	rep := j.reporter(r, now)
	if rep == nil {
		return
	}
	rep.lastReport = now
	if r.GetStarted() > rep.startedRequests {
		rep.startedRequests, rep.lastStart = r.GetStarted(), now
	}
	rep.running = r.GetRunning()
	rep.ready = r.GetReady()
	rep.hasVerdict = r.GetKnowsVerdict()
	for _, m := range r.GetCells() {
		j.mergeCell(rep, r.GetTarget(), m, now)
	}
}

// reporter returns the state of the reporting incarnation, or nil if a later
// incarnation has replaced it.
func (j *Judge) reporter(r *zinniaquayv1.ReportEvidenceRequest, now time.Time) *reporter {
	rep := j.reporters[r.GetTarget()]
	if rep != nil && r.GetIncarnation() < rep.incarnation {
		return nil
	}
	if rep == nil || r.GetIncarnation() > rep.incarnation || r.GetVersion() != rep.version {
		rep = &reporter{
			incarnation: r.GetIncarnation(),
			version:     r.GetVersion(),
			lastStart:   now,
			cells:       make(map[Cell]*Counts),
		}
		j.reporters[r.GetTarget()] = rep
	}
	return rep
}

func (j *Judge) mergeCell(rep *reporter, target string, m *zinniaquayv1.EvidenceCell, now time.Time) {
	cell := cellFromProto(m)
	merged := rep.cells[cell]
	if merged == nil {
		merged = &Counts{}
		rep.cells[cell] = merged
	}
	before := *merged
	reported := countsFromProto(m)
	merged.mergeMax(&reported)
	delta := merged.minus(&before)
	if delta == (Counts{}) {
		return
	}
	isOld := rep.version == j.declaration.From
	if cell.Dimension == ByLoad {
		j.total.count(isOld, &delta, now)
	}
	anyLoad := Cell{cell.Dimension, cell.Key, ""}
	j.comparison(cell).count(isOld, &delta, now)
	j.comparison(anyLoad).count(isOld, &delta, now)
	if !isOld {
		j.testFailures(anyLoad, target, &delta, now)
		j.testLatencies(cell, target, &delta, now)
	}
}

// comparison returns the comparison of a cell, and creates it if there is none.
func (j *Judge) comparison(cell Cell) *comparison {
	c := j.cells[cell]
	if c == nil {
		c = &comparison{}
		j.cells[cell] = c
	}
	return c
}

// count adds answers of the old or the new version.
func (c *comparison) count(isOld bool, delta *Counts, now time.Time) {
	c.recent.decay(now)
	if !isOld {
		c.new.add(delta)
		c.lastNewAnswer = now
		return
	}
	c.old.add(delta)
	c.recent.add(delta)
}

// testFailures tests whether the new version fails or refuses requests more
// often than the old one.
func (j *Judge) testFailures(cell Cell, target string, delta *Counts, now time.Time) {
	c := j.cells[cell]
	ref, factor, concurrent := j.reference(c, now)
	c.failed.add(target, delta.Failed, delta.Answers-delta.Failed, upperRate(ref.failed, ref.answers), maxFailureGain, now)
	j.concludeIfAlarmed(&c.failed, factor, "failures", cell, c)
	// The rate of caller errors changes from hour to hour, so refusals are
	// compared only with recent answers of the same cell.
	if concurrent {
		c.refused.add(target, delta.Refused, delta.Answers-delta.Refused, upperRate(ref.refused, ref.answers), maxFailureGain, now)
		j.concludeIfAlarmed(&c.refused, factor, "refusals", cell, c)
	}
}

// testLatencies compares the latencies of new and old answers that started
// under the same load: when demand rises, both versions slow down, but not at
// the rate of the baseline over all loads. If the old version does not run
// under that load, its answers under the next higher load are the reference.
func (j *Judge) testLatencies(cell Cell, target string, delta *Counts, now time.Time) {
	c := j.cells[cell]
	ref, factor, concurrent := j.latencyReference(cell, now)
	// The requests of one account change over time as well.
	if !concurrent && cell.Dimension == ByAccount {
		return
	}
	c.firstToken.addLatencies(target, &delta.FirstToken, &ref.firstToken, now)
	j.concludeIfAlarmed(&c.firstToken, factor, "time to first token", cell, c)
	c.tokenGap.addLatencies(target, &delta.TokenGap, &ref.tokenGap, now)
	j.concludeIfAlarmed(&c.tokenGap, factor, "time between tokens", cell, c)
}

// latencyReference returns the reference for the latencies of a cell. Its
// results are those of reference.
func (j *Judge) latencyReference(cell Cell, now time.Time) (ref baseline, factor float64, concurrent bool) {
	start := slices.Index(loads[:], cell.Load)
	for _, load := range loads[max(0, start):] {
		c := j.cells[Cell{cell.Dimension, cell.Key, load}]
		if c == nil {
			continue
		}
		if ref, factor, ok := j.reference(c, now); ok {
			return ref, factor, true
		}
	}
	return j.reference(j.cells[cell], now)
}

// reference returns what the new version's answers in a cell are compared with,
// the factor on the alarm threshold, and whether the reference consists of
// recent answers in the same cell.
func (j *Judge) reference(c *comparison, now time.Time) (ref baseline, factor float64, concurrent bool) {
	c.recent.decay(now)
	j.total.recent.decay(now)
	if c.recent.answers >= minComparedAnswers {
		return c.recent, 1, true
	}
	ref, factor = j.fallbackReference(c)
	return ref, factor, false
}

// fallbackReference returns the reference for a cell with too few recent
// answers of the old version, and the factor on the alarm threshold. It is all
// of the old version's answers in the cell, or else its recent answers in all
// cells, or else all of its answers.
func (j *Judge) fallbackReference(c *comparison) (baseline, float64) {
	ref := baseline{}
	if c.old.Answers >= minComparedAnswers {
		ref.add(&c.old)
		return ref, historyFactor
	}
	if j.total.recent.answers >= minComparedAnswers {
		ref.answers, ref.failed = j.total.recent.answers, j.total.recent.failed
		return ref, 1
	}
	ref.answers, ref.failed = float64(j.total.old.Answers), float64(j.total.old.Failed)
	return ref, historyFactor
}

// addLatencies adds latencies to the test. Latencies above the slow threshold
// of the old version are events.
func (c *cusum) addLatencies(target string, delta *Histogram, old *[Buckets]float64, now time.Time) {
	bucket, rate, ok := slowThreshold(old)
	if !ok {
		return
	}
	slow := delta.above(bucket)
	c.add(target, slow, delta.total()-slow, rate, maxSlownessGain, now)
}

// concludeIfAlarmed marks the new version as bad if a test is alarmed.
func (j *Judge) concludeIfAlarmed(test *cusum, factor float64, metric string, cell Cell, c *comparison) {
	if j.badReason != "" || !test.alarmed(factor) {
		return
	}
	j.badReason = fmt.Sprintf("%s of version %s for %s: %d of %d answers failed, %d refused; version %s: %d of %d failed, %d refused",
		metric, j.declaration.To, cell, c.new.Failed, c.new.Answers, c.new.Refused,
		j.declaration.From, c.old.Failed, c.old.Answers, c.old.Refused)
}

// Adopt takes over a verdict of another judge of the move.
func (j *Judge) Adopt(v *zinniaquayv1.Verdict, now time.Time) {
	if v.GetMoveDigest() != j.declaration.Digest() {
		return
	}
	if !v.GetCleared() {
		if j.badReason == "" {
			j.badReason = v.GetReason()
		}
		if j.badReason == "" {
			j.badReason = "reason not known"
		}
		return
	}
	for _, route := range v.GetRoutes() {
		j.clearedRoutes[route] = true
	}
	if v.GetLevel() > j.level {
		j.setLevel(min(v.GetLevel(), FullLevel), now)
	}
}

// Verdict returns the judge's conclusion so far.
func (j *Judge) Verdict() *zinniaquayv1.Verdict {
	v := &zinniaquayv1.Verdict{
		Move:       j.declaration.Name,
		MoveDigest: j.declaration.Digest(),
		Version:    j.declaration.To,
	}
	if j.badReason != "" {
		v.Reason = j.badReason
		return v
	}
	v.Cleared = true
	v.Level = j.level
	if j.clearedRoutes[AllRoutes] {
		v.Routes = []string{AllRoutes}
		return v
	}
	for route := range j.clearedRoutes {
		v.Routes = append(v.Routes, route)
	}
	slices.Sort(v.Routes)
	return v
}
