package evidence_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// maxRollbackDelay is the maximum time from the request that exposes a fault to
// the last request that starts on a bad version.
const maxRollbackDelay = 3 * time.Second

func TestGoodVersionGetsAllTrafficByTheDeadline(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2, 2, newMove(2*time.Minute, 0.2))
		f.start(nil)
		begin := time.Now()
		statuses := f.traffic(100*time.Millisecond, 10*time.Second)
		is.Equal(statuses[http.StatusOK], 100)
		is.True(f.startedSince("new", begin) > 0)
		is.True(f.startedSince("new", begin) <= 20+move.HeadStarts) // the share stays small without evidence
		is.Equal(f.state(), string(move.Moving))
		f.traffic(100*time.Millisecond, 110*time.Second)
		deadline := time.Now()
		statuses = f.traffic(100*time.Millisecond, 10*time.Second)
		is.Equal(statuses[http.StatusOK], 100)
		is.Equal(f.startedSince("old", deadline), 0)
		is.Equal(f.state(), string(move.Done))
	})
}

func TestFailingVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		down bool
	}{{"platform up", false}, {"platform down", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithFakeTime(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, 2, 2, newMove(time.Hour, 0.2))
				f.start(nil)
				time.Sleep(5 * time.Second) // wait until versions are loaded
				f.platform.SetFaults(platform.Faults{Down: c.down})
				f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
				f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
				begin := time.Now()
				f.traffic(50*time.Millisecond, 30*time.Second)
				shown := f.nthRequestToNew(25)
				is.True(f.verdicts["r0"].Verdicts()[0].GetReason() != "")
				is.Equal(f.startedSince("new", shown.Add(maxRollbackDelay)), 0)
				is.True(f.startedSince("old", begin) > 0)
				last := time.Now()
				statuses := f.traffic(100*time.Millisecond, 5*time.Second)
				is.Equal(statuses[http.StatusOK], 50) // traffic is back on the old version
				is.Equal(f.startedSince("new", last), 0)
				if c.down {
					is.Equal(f.state(), "unknown") // only committed states are reported
					f.platform.SetFaults(platform.Faults{})
					time.Sleep(5 * time.Second)
				}
				is.Equal(f.state(), string(move.RolledBack))
			})
		})
	}
}

func TestFaultAfterTheMoveIsDoneStillRollsItBack(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2, 2, newMove(2*time.Minute, 0.2))
		f.start(nil)
		f.traffic(100*time.Millisecond, 125*time.Second)
		is.Equal(f.state(), string(move.Done))
		f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
		f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
		f.resetCounts()
		f.traffic(50*time.Millisecond, 30*time.Second)
		is.Equal(f.startedSince("new", f.nthRequestToNew(50).Add(2*maxRollbackDelay)), 0)
		is.Equal(f.state(), string(move.RolledBack))
	})
}

func TestRouterWithoutVerdictStartsNothingOnABadVersion(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 2, 2, newMove(time.Hour, 0.2))
		f.start(nil)
		time.Sleep(5 * time.Second)
		f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
		f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
		f.traffic(50*time.Millisecond, 30*time.Second)
		informed := 0
		for _, m := range f.members {
			for _, v := range f.verdicts[m.Name].Verdicts() {
				if !v.GetCleared() {
					informed++
				}
			}
		}
		is.Equal(informed, 1) // verdicts do not reach the other router in this test
		begin := time.Now()
		statuses := f.traffic(100*time.Millisecond, 10*time.Second)
		is.Equal(f.startedSince("new", begin), 0) // the sidecars refuse
		is.Equal(statuses[http.StatusOK], 100)
	})
}

func TestTargetServesOnlyTheVersionThatItWasOrderedToLoad(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		checks bool
		// wait is the minimum time that orders are delayed.
		wait time.Duration
	}{{"target checks fencing", true, 0}, {"target ignores fencing", false, 12 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithFakeTime(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, 1, 1, newMove(time.Hour, 0.5))
				f.doc.Targets["new0"].ChecksFencing = c.checks
				f.platform.SetLoadInterval(3 * time.Second)
				begin := time.Now()
				f.start(func(name string, o *target.Options) {
					o.Version = "v1"
					o.LoadTime = 5 * time.Second
					o.ChecksFencing = c.checks
				})
				f.traffic(100*time.Millisecond, c.wait+4*time.Second)
				is.Equal(f.startedSince("new", begin), 0) // v2 is not loaded yet
				f.traffic(100*time.Millisecond, 15*time.Second)
				is.True(f.startedSince("new", begin) > 0)
				accepted := f.engines["new0"].Orders().Accepted
				is.Equal(len(accepted), 1)
				is.True(accepted[0].FencingNumber > 0)
				is.Equal(len(f.engines["old0"].Orders().Accepted), 0)
			})
		})
	}
}

func TestCrashedHolderIsReplaced(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 2, 2, newMove(time.Hour, 0.2))
		f.start(nil)
		f.traffic(50*time.Millisecond, 10*time.Second)
		holder := evidence.Ranked(move.NewDeclaration("m", f.doc.Moves["m"]).Digest(), f.members)[0]
		f.kill(holder.Name)
		left := slices.DeleteFunc(slices.Clone(f.members), func(m evidence.Member) bool { return m == holder })
		f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
		f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
		f.callers = left
		f.resetCounts()
		f.traffic(50*time.Millisecond, 40*time.Second)
		is.Equal(f.startedSince("new", f.nthRequestToNew(25).Add(maxRollbackDelay)), 0)
		is.Equal(f.state(), string(move.RolledBack))
	})
}

func TestGoodVersionMovesByTheDeadlineWhileThePlatformIsDownHalfTheTime(t *testing.T) {
	t.Parallel()
	for _, downFirst := range []bool{true, false} {
		runWithFakeTime(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 2, 2, newMove(2*time.Minute, 0.2))
			f.start(nil)
			time.Sleep(time.Second) // the loaded versions have been reported
			halves := []bool{downFirst, !downFirst}
			for _, down := range halves {
				f.platform.SetFaults(platform.Faults{Down: down})
				f.traffic(100*time.Millisecond, 59*time.Second)
			}
			deadline := time.Now()
			f.platform.SetFaults(platform.Faults{})
			f.traffic(100*time.Millisecond, 10*time.Second)
			is.Equal(f.startedSince("old", deadline), 0)
			is.Equal(f.state(), string(move.Done))
		})
	}
}
