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

// noMoreWorkWithin is the time from a fault's showing to the last start on a bad
// version.
const noMoreWorkWithin = 3 * time.Second

func TestGoodVersionGetsAllTrafficByTheDeadline(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2, 2, declared(2*time.Minute, 0.2))
		f.start(nil)
		begin := time.Now()
		statuses := f.traffic(100*time.Millisecond, 10*time.Second)
		is.Equal(statuses[http.StatusOK], 100)
		is.True(f.started("new", begin) > 0)
		is.True(f.started("new", begin) <= 20+move.HeadStarts) // small before evidence
		is.Equal(f.state(), string(move.Moving))
		f.traffic(100*time.Millisecond, 110*time.Second)
		deadline := time.Now()
		statuses = f.traffic(100*time.Millisecond, 10*time.Second)
		is.Equal(statuses[http.StatusOK], 100)
		is.Equal(f.started("old", deadline), 0)
		is.Equal(f.state(), string(move.Done))
	})
}

func TestVersionThatFailsAtOnceIsTakenBack(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		down bool
	}{{"platform up", false}, {"platform down", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, 2, 2, declared(time.Hour, 0.2))
				f.start(nil)
				time.Sleep(5 * time.Second) // versions are loaded
				f.platform.SetFaults(platform.Faults{Down: c.down})
				f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
				f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
				begin := time.Now()
				f.traffic(50*time.Millisecond, 30*time.Second)
				shown := f.shown(25)
				is.True(f.knows["r0"].Verdicts()[0].GetReason() != "")
				is.Equal(f.started("new", shown.Add(noMoreWorkWithin)), 0)
				is.True(f.started("old", begin) > 0)
				last := time.Now()
				statuses := f.traffic(100*time.Millisecond, 5*time.Second)
				is.Equal(statuses[http.StatusOK], 50) // traffic is back on the old version
				is.Equal(f.started("new", last), 0)
				if c.down {
					is.Equal(f.state(), "unknown") // nothing is shown that is not committed
					f.platform.SetFaults(platform.Faults{})
					time.Sleep(5 * time.Second)
				}
				is.Equal(f.state(), string(move.RolledBack))
			})
		})
	}
}

func TestFaultAfterTheMoveIsDoneStillTakesItBack(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2, 2, declared(2*time.Minute, 0.2))
		f.start(nil)
		f.traffic(100*time.Millisecond, 125*time.Second)
		is.Equal(f.state(), string(move.Done))
		f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
		f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
		f.forget()
		f.traffic(50*time.Millisecond, 30*time.Second)
		is.Equal(f.started("new", f.shown(50).Add(2*noMoreWorkWithin)), 0)
		is.Equal(f.state(), string(move.RolledBack))
	})
}

func TestRouterThatKnowsNothingStartsNothingOnABadVersion(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 2, 2, declared(time.Hour, 0.2))
		f.start(nil)
		time.Sleep(5 * time.Second)
		f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
		f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
		f.traffic(50*time.Millisecond, 30*time.Second)
		informed := 0
		for _, m := range f.members {
			for _, v := range f.knows[m.Name].Verdicts() {
				if !v.GetCleared() {
					informed++
				}
			}
		}
		is.Equal(informed, 1) // the other one hears nothing in this test
		begin := time.Now()
		statuses := f.traffic(100*time.Millisecond, 10*time.Second)
		is.Equal(f.started("new", begin), 0) // the sidecars refuse
		is.Equal(statuses[http.StatusOK], 100)
	})
}

func TestTargetServesOnlyTheVersionThatItWasOrderedToLoad(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		checks bool
		// wait is the least time that orders are held back.
		wait time.Duration
	}{{"target checks fencing", true, 0}, {"target ignores fencing", false, 12 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, 1, 1, declared(time.Hour, 0.5))
				f.doc.Targets["new0"].ChecksFencing = c.checks
				f.platform.SetLoadInterval(3 * time.Second)
				begin := time.Now()
				f.start(func(name string, o *target.Options) {
					o.Version = "v1"
					o.LoadTime = 5 * time.Second
					o.ChecksFencing = c.checks
				})
				f.traffic(100*time.Millisecond, c.wait+4*time.Second)
				is.Equal(f.started("new", begin), 0) // v2 is not loaded yet
				f.traffic(100*time.Millisecond, 15*time.Second)
				is.True(f.started("new", begin) > 0)
				accepted := f.engines["new0"].Orders().Accepted
				is.Equal(len(accepted), 1)
				is.True(accepted[0].FencingNumber > 0)
				is.Equal(len(f.engines["old0"].Orders().Accepted), 0)
			})
		})
	}
}

func TestHolderThatDiesIsReplaced(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 2, 2, declared(time.Hour, 0.2))
		f.start(nil)
		f.traffic(50*time.Millisecond, 10*time.Second)
		holder := evidence.Ranked(move.NewDeclaration("m", f.doc.Moves["m"]).Digest(), f.members)[0]
		f.kill(holder.Name)
		left := slices.DeleteFunc(slices.Clone(f.members), func(m evidence.Member) bool { return m == holder })
		f.engines["new0"].SetFaults(target.Faults{FailShare: 1})
		f.engines["new1"].SetFaults(target.Faults{FailShare: 1})
		f.callers = left
		f.forget()
		f.traffic(50*time.Millisecond, 40*time.Second)
		is.Equal(f.started("new", f.shown(25).Add(noMoreWorkWithin)), 0)
		is.Equal(f.state(), string(move.RolledBack))
	})
}

func TestGoodVersionMovesInTimeWhileThePlatformIsDownForHalfOfIt(t *testing.T) {
	t.Parallel()
	for _, downFirst := range []bool{true, false} {
		bubble(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 2, 2, declared(2*time.Minute, 0.2))
			f.start(nil)
			time.Sleep(time.Second) // versions are known to be loaded
			halves := []bool{downFirst, !downFirst}
			for _, down := range halves {
				f.platform.SetFaults(platform.Faults{Down: down})
				f.traffic(100*time.Millisecond, 59*time.Second)
			}
			deadline := time.Now()
			f.platform.SetFaults(platform.Faults{})
			f.traffic(100*time.Millisecond, 10*time.Second)
			is.Equal(f.started("old", deadline), 0)
			is.Equal(f.state(), string(move.Done))
		})
	}
}
