package move

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Numbers of seeded runs a fault; runs over an hour of traffic are long.
const (
	simSeeds  = 20
	lateSeeds = 3
)

// goodRuns is the number of seeded moves of a good version.
var goodRuns = flag.Uint64("good-runs", 100, "seeded moves of a good version")

func fail(a *answer) { a.Outcome, a.affected = Failed, true }

func slowDown(a *answer) {
	a.FirstToken *= 4
	a.TokenGap *= 4
	a.affected = true
}

// Failures may take 3 s to a verdict. Slowness looks like an episode at a host
// for longer, so that more of it is needed, at the small share.
const (
	failureBound  = 3 * time.Second
	slownessBound = 30 * time.Second
)

// faults are the ways in which a version is bad.
var faults = []struct {
	name string
	// spoil spoils an answer of the new version.
	spoil func(*rand.Rand, *answer)
	// small says that the fault must show at the small share.
	small bool
	// late says that the fault shows after an hour.
	late bool
	// bound is the longest time from the fault's showing to the verdict.
	bound time.Duration
}{
	{"fails at once", func(_ *rand.Rand, a *answer) { fail(a) }, true, false, failureBound},
	{"fails in part", func(r *rand.Rand, a *answer) {
		if r.Float64() < 0.5 {
			fail(a)
		}
	}, true, false, failureBound},
	{"slow at once", func(_ *rand.Rand, a *answer) { slowDown(a) }, true, false, slownessBound},
	{"fails after an hour", func(_ *rand.Rand, a *answer) {
		if a.elapsed > time.Hour {
			fail(a)
		}
	}, false, true, failureBound},
	{"slow under load", func(_ *rand.Rand, a *answer) {
		if a.Load == LoadHigh {
			slowDown(a)
		}
	}, false, false, slownessBound},
	{"fails on one route", func(_ *rand.Rand, a *answer) {
		if a.Route == "stock" {
			fail(a)
		}
	}, true, false, failureBound},
	{"fails for one account", func(_ *rand.Rand, a *answer) {
		if a.Account == "a3" {
			fail(a)
		}
	}, true, false, failureBound},
}

func TestBadVersionsAreTakenBackSoonAfterTheFaultShows(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var worst time.Duration
			most, largest := 0, 0.0
			seeds := uint64(simSeeds)
			if f.late {
				seeds = lateSeeds
			}
			for seed := range seeds {
				s := newSimulation(seed, 6)
				s.fault = f.spoil
				at := s.run(2 * time.Hour)
				is.True(s.know.Bad(s.d)) // found
				if f.small {
					is.Equal(s.peakShare, s.d.SmallShare) // never exceeded its small share
				}
				if s.shownAt > 0 {
					worst = max(worst, at-s.shownAt)
				}
				most = max(most, s.affected)
				largest = max(largest, s.peakShare)
				is.True(s.judge.badReason != "")
			}
			t.Logf("worst time from answer %d spoilt to verdict %s, most answers spoilt %d, largest share %v", affectedToShow, worst, most, largest)
			is.True(worst <= f.bound)
		})
	}
}

func TestGoodVersionsOnNoisyTargetsMoveInTime(t *testing.T) {
	is := is.New(t)
	runs := *goodRuns
	if testing.Short() {
		runs = 10
	}
	var alarms atomic.Int64
	seeds := make(chan uint64)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				s := newSimulation(seed, 6)
				s.run(s.d.Deadline.Sub(simStart))
				if !s.know.Bad(s.d) && s.d.Share(s.know.Verdict(s.d), "stock") != 1 {
					t.Errorf("seed %d: not at full share by the deadline", seed)
				}
				s.run(15 * time.Minute)
				if s.know.Bad(s.d) {
					alarms.Add(1)
					t.Logf("seed %d: %s", seed, s.judge.badReason)
				}
			}
		})
	}
	for seed := range runs {
		seeds <- 1000 + seed
	}
	close(seeds)
	group.Wait()
	t.Logf("%d of %d good versions taken back", alarms.Load(), runs)
	is.True(uint64(alarms.Load())*100 < runs)
}

func TestGoodVersionThatLoadsSlowlyMovesInTimeOrIsLate(t *testing.T) {
	for _, c := range []struct {
		name      string
		lastReady time.Duration
		full      bool
	}{
		{"loaded at two thirds of the time", 400 * time.Second, true},
		{"half loaded at the deadline", 20 * time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(7, 6)
			s.readyFrom = func(i int) time.Duration { return c.lastReady * time.Duration(i+1) / 6 }
			s.run(10 * time.Minute)
			deadline := simStart.Add(10 * time.Minute)
			missing := s.judge.Step(s.fleet, deadline)
			state, reason := Next(Moving, s.judge.Progress(s.fleet, missing, deadline))
			is.Equal(missing == "", c.full)
			is.True(c.full || state == Late)
			is.True(c.full || reason != "")
		})
	}
}

func TestReportsMayRepeatAndComeLate(t *testing.T) {
	is := is.New(t)
	once, twice := newSimulation(3, 2), newSimulation(3, 2)
	tally := NewTally()
	at := simStart
	for i := range 30 {
		tally.Observe(Observation{Route: "r", Account: "a", Load: LoadLow, Outcome: Outcome(i % 2)})
		early := report(once.d, "new0", 1, tally.Changed(1, 1000))
		once.judge.Merge(early, at)
		twice.judge.Merge(early, at)
		twice.judge.Merge(early, at)
		twice.judge.Merge(report(once.d, "new0", 0, early.GetCells()), at) // an incarnation that is gone
	}
	is.Equal(once.judge.total.new, twice.judge.total.new)
	is.Equal(once.judge.total.new.Answers, uint64(30))
	is.Equal(once.judge.Verdict().GetReason(), twice.judge.Verdict().GetReason())
	twice.judge.Merge(report(once.d, "new0", 2, tally.Changed(2, 1000)), at) // a restarted reporter adds
	is.Equal(twice.judge.total.new.Answers, uint64(60))
}

func report(d Declaration, target string, incarnation uint64, cells []*zinniaquayv1.EvidenceCell) *zinniaquayv1.ReportEvidenceRequest {
	return &zinniaquayv1.ReportEvidenceRequest{
		Move: d.Name, MoveDigest: d.Digest(), Version: d.To, Target: target, Incarnation: incarnation, Cells: cells,
	}
}

func TestJudgeThatWasFrozenTrustsNoOldReport(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5, 2)
	now := simStart
	say := func(target, version string, at time.Time) {
		s.judge.Merge(&zinniaquayv1.ReportEvidenceRequest{
			Move: s.d.Name, MoveDigest: s.d.Digest(), Version: version, Target: target, Incarnation: 1, Ready: true,
		}, at)
	}
	for range 20 {
		for i := range s.fleet.Old {
			say(s.fleet.Old[i], s.d.From, now)
			say(s.fleet.New[i], s.d.To, now)
		}
		s.judge.Step(s.fleet, now)
		now = now.Add(500 * time.Millisecond)
	}
	is.True(s.judge.Progress(s.fleet, "", now).OldIdle) // it was heard to be idle
	now = now.Add(time.Hour)
	s.judge.Step(s.fleet, now)
	is.True(!s.judge.Progress(s.fleet, "", now).OldIdle) // what was heard is an hour old
	now = now.Add(silentAfter)
	is.True(s.judge.Progress(s.fleet, "", now).OldIdle) // nobody answers
	is.Equal(len(s.judge.Progress(s.fleet, "", now).Silent), 2)
}

func TestEvidenceStaysWithinTheBudgetOfItsHolder(t *testing.T) {
	const budget = 4096 // bytes a second for all control of a process
	for _, targets := range []int{2, 6, 16, 100} {
		t.Run(fmt.Sprint(2*targets, " targets"), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(11, targets)
			s.rate = 7 * float64(targets) // requests a second of a target at the peak
			s.d.Deadline = simStart.Add(10 * time.Minute)
			length := time.Minute
			s.run(length)
			is.Equal(s.judge.badReason, "")
			rate := float64(s.bytes) / length.Seconds()
			t.Logf("%d targets: %.0f bytes a second", 2*targets, rate)
			is.True(rate <= budget)
		})
	}
}
