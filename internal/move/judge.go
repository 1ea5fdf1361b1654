package move

import (
	"fmt"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Judge holds the evidence on one move, merged over all targets, and concludes.
// It is soft state: a judge that starts empty is rebuilt from the reporters'
// running totals. It is not safe for concurrent use.
type Judge struct {
	declaration Declaration
	started     time.Time
	stepped     time.Time
	reporters   map[string]*reporter
	cells       map[Cell]*comparison
	total       comparison

	level      uint32
	levelSince time.Time
	levelStart uint64
	cleared    map[string]bool
	badReason  string
}

// reporter is what the judge knows of one target.
type reporter struct {
	incarnation uint64
	version     string
	heard       time.Time
	started     uint64
	startedAt   time.Time
	running     uint64
	ready       bool
	informed    bool
	cells       map[Cell]*Counts
}

// comparison is one cell of evidence, old and new version side by side.
type comparison struct {
	old, new Counts
	recent   baseline
	// lastNew is when the new version last answered in this cell.
	lastNew time.Time

	failed, refused, firstToken, tokenGap cusum
}

// NewJudge returns a judge without evidence.
func NewJudge(d Declaration, now time.Time) *Judge {
	return &Judge{
		declaration: d,
		started:     now,
		reporters:   make(map[string]*reporter),
		cells:       make(map[Cell]*comparison),
		levelSince:  now,
		cleared:     make(map[string]bool),
	}
}

// SetDeclaration takes over a changed deadline or small share. The declaration
// must have the digest of the judge's own.
func (j *Judge) SetDeclaration(d Declaration) { j.declaration = d }

// Merge enters a target's running totals. Reports that are repeated or late
// add nothing to the counts.
func (j *Judge) Merge(r *zinniaquayv1.ReportEvidenceRequest, now time.Time) {
	d := j.declaration
	if r.GetMoveDigest() != d.Digest() || (r.GetVersion() != d.From && r.GetVersion() != d.To) {
		return
	}
	rep := j.reporter(r, now)
	if rep == nil {
		return
	}
	rep.heard = now
	if r.GetStarted() > rep.started {
		rep.started, rep.startedAt = r.GetStarted(), now
	}
	rep.running = r.GetRunning()
	rep.ready = r.GetReady()
	rep.informed = r.GetKnowsVerdict()
	for _, m := range r.GetCells() {
		j.mergeCell(rep, r.GetTarget(), m, now)
	}
}

// reporter returns the state of the reporting incarnation, or nil for one that
// has been replaced.
func (j *Judge) reporter(r *zinniaquayv1.ReportEvidenceRequest, now time.Time) *reporter {
	rep := j.reporters[r.GetTarget()]
	if rep != nil && r.GetIncarnation() < rep.incarnation {
		return nil
	}
	if rep == nil || r.GetIncarnation() > rep.incarnation || r.GetVersion() != rep.version {
		rep = &reporter{
			incarnation: r.GetIncarnation(),
			version:     r.GetVersion(),
			startedAt:   now,
			cells:       make(map[Cell]*Counts),
		}
		j.reporters[r.GetTarget()] = rep
	}
	return rep
}

func (j *Judge) mergeCell(rep *reporter, target string, m *zinniaquayv1.EvidenceCell, now time.Time) {
	cell := cellOf(m)
	known := rep.cells[cell]
	if known == nil {
		known = &Counts{}
		rep.cells[cell] = known
	}
	before := *known
	reported := countsOf(m)
	known.mergeMax(&reported)
	news := known.minus(&before)
	if news == (Counts{}) {
		return
	}
	isOld := rep.version == j.declaration.From
	if cell.Dimension == ByLoad {
		j.total.count(isOld, &news, now)
	}
	anyLoad := Cell{cell.Dimension, cell.Key, ""}
	j.comparison(cell).count(isOld, &news, now)
	j.comparison(anyLoad).count(isOld, &news, now)
	if !isOld {
		j.testFailures(anyLoad, target, &news, now)
		j.testLatencies(cell, target, &news, now)
	}
}

// comparison returns a cell of the evidence.
func (j *Judge) comparison(cell Cell) *comparison {
	c := j.cells[cell]
	if c == nil {
		c = &comparison{}
		j.cells[cell] = c
	}
	return c
}

// count enters answers of one side.
func (c *comparison) count(isOld bool, news *Counts, now time.Time) {
	c.recent.decay(now)
	if !isOld {
		c.new.plus(news)
		c.lastNew = now
		return
	}
	c.old.plus(news)
	c.recent.add(news)
}

// testFailures compares how often new and old answers fail or are refused.
func (j *Judge) testFailures(cell Cell, target string, news *Counts, now time.Time) {
	c := j.cells[cell]
	side, factor, sideBySide := j.side(c, now)
	c.failed.add(target, news.Failed, news.Answers-news.Failed, upperRate(side.failed, side.answers), failureGain, now)
	j.conclude(&c.failed, factor, "failures", cell, c)
	// What callers do wrong changes from hour to hour, so that refusals tell
	// something only side by side.
	if sideBySide {
		c.refused.add(target, news.Refused, news.Answers-news.Refused, upperRate(side.refused, side.answers), failureGain, now)
		j.conclude(&c.refused, factor, "refusals", cell, c)
	}
}

// testLatencies compares the times of new and old answers that started under the
// same load: when demand rises, both versions slow down, but not in step with
// the baseline of all loads. Where the old version does not run under that load,
// its answers under the next higher one are the measure.
func (j *Judge) testLatencies(cell Cell, target string, news *Counts, now time.Time) {
	c := j.cells[cell]
	side, factor, sideBySide := j.latencySide(cell, now)
	// What one account asks for changes as well.
	if !sideBySide && cell.Dimension == ByAccount {
		return
	}
	c.firstToken.addLatencies(target, &news.FirstToken, &side.firstToken, now)
	j.conclude(&c.firstToken, factor, "time to first token", cell, c)
	c.tokenGap.addLatencies(target, &news.TokenGap, &side.tokenGap, now)
	j.conclude(&c.tokenGap, factor, "time between tokens", cell, c)
}

// latencySide returns what the latencies of a cell are compared with, as side
// does.
func (j *Judge) latencySide(cell Cell, now time.Time) (side baseline, factor float64, sideBySide bool) {
	own := slices.Index(loads[:], cell.Load)
	for _, load := range loads[max(0, own):] {
		c := j.cells[Cell{cell.Dimension, cell.Key, load}]
		if c == nil {
			continue
		}
		if side, factor, ok := j.side(c, now); ok {
			return side, factor, true
		}
	}
	return j.side(j.cells[cell], now)
}

// side returns what new answers of a cell are compared with, the factor on the
// threshold, and whether it is recent answers of the same cell.
func (j *Judge) side(c *comparison, now time.Time) (side baseline, factor float64, sideBySide bool) {
	c.recent.decay(now)
	j.total.recent.decay(now)
	if c.recent.answers >= leastCompared {
		return c.recent, 1, true
	}
	side, factor = j.past(c)
	return side, factor, false
}

// past returns what stands in for the old version's recent answers in a cell
// that has too few, and the factor on the threshold: its recent answers in all
// cells, or else what it did before.
func (j *Judge) past(c *comparison) (baseline, float64) {
	side := baseline{}
	if c.old.Answers >= leastCompared {
		side.add(&c.old)
		return side, historyFactor
	}
	if j.total.recent.answers >= leastCompared {
		side.answers, side.failed = j.total.recent.answers, j.total.recent.failed
		return side, 1
	}
	side.answers, side.failed = float64(j.total.old.Answers), float64(j.total.old.Failed)
	return side, historyFactor
}

// addLatencies enters latencies, of which those above what the old version
// seldom exceeds are events.
func (c *cusum) addLatencies(target string, news *Histogram, old *[Buckets]float64, now time.Time) {
	bucket, rate, ok := slowAbove(old)
	if !ok {
		return
	}
	slow := news.above(bucket)
	c.add(target, slow, news.total()-slow, rate, slownessGain, now)
}

// conclude finds the new version bad if a test is alarmed.
func (j *Judge) conclude(test *cusum, factor float64, what string, cell Cell, c *comparison) {
	if j.badReason != "" || !test.alarmed(factor) {
		return
	}
	j.badReason = fmt.Sprintf("%s of version %s for %s: %d of %d answers failed, %d refused; version %s: %d of %d failed, %d refused",
		what, j.declaration.To, cell, c.new.Failed, c.new.Answers, c.new.Refused,
		j.declaration.From, c.old.Failed, c.old.Answers, c.old.Refused)
}

// Adopt takes over a conclusion that another judge of the move came to.
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
		j.cleared[route] = true
	}
	if v.GetLevel() > j.level {
		j.setLevel(min(v.GetLevel(), FullLevel), now)
	}
}

// Verdict returns what the judge concluded so far.
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
	if j.cleared[AllRoutes] {
		v.Routes = []string{AllRoutes}
		return v
	}
	for route := range j.cleared {
		v.Routes = append(v.Routes, route)
	}
	slices.Sort(v.Routes)
	return v
}
