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

// Number of seeded runs per fault. Delayed faults have fewer, because they need
// more than an hour of simulated traffic.
const (
	simSeeds          = 20
	delayedFaultSeeds = 3
)

// goodRuns is the number of seeded moves of a good version.
var goodRuns = flag.Uint64("good-runs", 100, "seeded moves of a good version")

func failAnswer(a *answer) { a.Outcome, a.affected = Failed, true }

func slowDownAnswer(a *answer) {
	a.FirstToken *= 4
	a.TokenGap *= 4
	a.affected = true
}

// Failures must lead to a verdict within 3 s. Slowness takes longer to
// distinguish from an episode at one host, so that a verdict needs more slow
// answers at the small share.
const (
	failureBound  = 3 * time.Second
	slownessBound = 30 * time.Second
)

// faults are the ways in which a version is bad.
var faults = []struct {
	name string
	// apply applies the fault to an answer of the new version.
	apply func(*rand.Rand, *answer)
	// atSmallShare is true if the fault must be detected at the small share.
	atSmallShare bool
	// delayed is true if the fault appears after an hour.
	delayed bool
	// bound is the maximum time from the appearance of the fault to the verdict.
	bound time.Duration
}{
	{"fails at once", func(_ *rand.Rand, a *answer) { failAnswer(a) }, true, false, failureBound},
	{"fails in part", func(r *rand.Rand, a *answer) {
		if r.Float64() < 0.5 {
			failAnswer(a)
		}
	}, true, false, failureBound},
	{"slow at once", func(_ *rand.Rand, a *answer) { slowDownAnswer(a) }, true, false, slownessBound},
	{"fails after an hour", func(_ *rand.Rand, a *answer) {
		if a.elapsed > time.Hour {
			failAnswer(a)
		}
	}, false, true, failureBound},
	{"slow under load", func(_ *rand.Rand, a *answer) {
		if a.Load == LoadHigh {
			slowDownAnswer(a)
		}
	}, false, false, slownessBound},
	{"fails on one route", func(_ *rand.Rand, a *answer) {
		if a.Route == "stock" {
			failAnswer(a)
		}
	}, true, false, failureBound},
	{"fails for one account", func(_ *rand.Rand, a *answer) {
		if a.Account == "a3" {
			failAnswer(a)
		}
	}, true, false, failureBound},
}

func TestBadVersionsAreDetectedWithinTheBound(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var worst time.Duration
			maxAffected, maxShare := 0, 0.0
			seeds := uint64(simSeeds)
			if f.delayed {
				seeds = delayedFaultSeeds
			}
			for seed := range seeds {
				s := newSimulation(seed, 6)
				s.fault = f.apply
				at := s.run(2 * time.Hour)
				is.True(s.verdicts.Bad(s.d)) // detected
				if f.atSmallShare {
					is.Equal(s.peakShare, s.d.SmallShare) // never exceeded its small share
				}
				if s.faultShownAt > 0 {
					worst = max(worst, at-s.faultShownAt)
				}
				maxAffected = max(maxAffected, s.affected)
				maxShare = max(maxShare, s.peakShare)
				is.True(s.judge.badReason != "")
			}
			t.Logf("maximum time from affected answer %d to the verdict %s, maximum affected answers %d, maximum share %v", affectedToShow, worst, maxAffected, maxShare)
			is.True(worst <= f.bound)
		})
	}
}

func TestGoodVersionsOnNoisyTargetsReachFullShareByDeadline(t *testing.T) {
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
				if !s.verdicts.Bad(s.d) && s.d.Share(s.verdicts.Verdict(s.d), "stock") != 1 {
					t.Errorf("seed %d: not at full share by the deadline", seed)
				}
				s.run(15 * time.Minute)
				if s.verdicts.Bad(s.d) {
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

func TestSlowlyLoadingGoodVersionReachesFullShareOrIsLate(t *testing.T) {
	for _, c := range []struct {
		name      string
		lastReady time.Duration
		full      bool
	}{
		{"all ready at two thirds of the time", 400 * time.Second, true},
		{"half ready at the deadline", 20 * time.Minute, false},
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

func TestRepeatedAndStaleReportsAddNothing(t *testing.T) {
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
		twice.judge.Merge(report(once.d, "new0", 0, early.GetCells()), at) // an earlier incarnation
	}
	is.Equal(once.judge.total.new, twice.judge.total.new)
	is.Equal(once.judge.total.new.Answers, uint64(30))
	is.Equal(once.judge.Verdict().GetReason(), twice.judge.Verdict().GetReason())
	twice.judge.Merge(report(once.d, "new0", 2, tally.Changed(2, 1000)), at) // a restarted reporter's counts are added
	is.Equal(twice.judge.total.new.Answers, uint64(60))
}

func report(d Declaration, target string, incarnation uint64, cells []*zinniaquayv1.EvidenceCell) *zinniaquayv1.ReportEvidenceRequest {
	return &zinniaquayv1.ReportEvidenceRequest{
		Move: d.Name, MoveDigest: d.Digest(), Version: d.To, Target: target, Incarnation: incarnation, Cells: cells,
	}
}

func TestPausedJudgeIgnoresReportsFromBeforeThePause(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5, 2)
	now := simStart
	mergeReport := func(target, version string, at time.Time) {
		s.judge.Merge(&zinniaquayv1.ReportEvidenceRequest{
			Move: s.d.Name, MoveDigest: s.d.Digest(), Version: version, Target: target, Incarnation: 1, Ready: true,
		}, at)
	}
	for range 20 {
		for i := range s.fleet.Old {
			mergeReport(s.fleet.Old[i], s.d.From, now)
			mergeReport(s.fleet.New[i], s.d.To, now)
		}
		s.judge.Step(s.fleet, now)
		now = now.Add(500 * time.Millisecond)
	}
	is.True(s.judge.Progress(s.fleet, "", now).OldIdle) // all targets have reported long enough
	now = now.Add(time.Hour)
	s.judge.Step(s.fleet, now)
	is.True(!s.judge.Progress(s.fleet, "", now).OldIdle) // the reports are an hour old
	now = now.Add(minSilenceTimeout)
	is.True(s.judge.Progress(s.fleet, "", now).OldIdle) // all targets are silent
	is.Equal(len(s.judge.Progress(s.fleet, "", now).Silent), 2)
}

func TestEvidenceReportsStayWithinTheControlBudget(t *testing.T) {
	const budget = 4096 // bytes a second for all control traffic of a process
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
