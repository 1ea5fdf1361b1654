package test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// coldBounds are what a target that may turn cold declares.
var coldBounds = capacity.Bounds{MaxCold: 2, Max: 8, ColdDuration: 3 * time.Second}

// coldOptions are a target that falls over when it is cold and gets more than
// its bound, whose load reports lag, and whose streams go on for a while without
// a reader.
var coldOptions = modelOptions{
	routers: 3, services: []string{"planner"}, accounts: []string{"large", "village"}, bounds: coldBounds,
	engine: target.Options{
		Name: "e", Version: "v1", PerToken: perToken, FirstToken: 20 * time.Millisecond,
		ColdRunning: coldBounds.MaxCold, WarmAfter: coldBounds.ColdDuration, CrashDuration: time.Second,
		LoadLag: 300 * time.Millisecond, ResumeGrace: 3 * time.Second,
	},
}

// coldRequest is the time of one request of 20 tokens on such a target, with
// what the way to it takes.
const coldRequest = 20*perToken + 20*time.Millisecond + 30*time.Millisecond

// push lets all routers push more than the target bears.
func (f *modelFleet) push(ctx context.Context, group *sync.WaitGroup) {
	for i := range f.routers {
		f.callers(ctx, group, 10, i, "large", "planner", fairTokens)
		f.callers(ctx, group, 4, i, "village", "planner", fairTokens)
	}
}

// checkNeverOver fails if the target ever had more running than it bore.
func checkNeverOver(t *testing.T, f *modelFleet) {
	t.Helper()
	state := f.engines[0].State()
	t.Logf("target: %+v", state)
	if state.Crashes > 0 || state.MaxRunningCold > coldBounds.MaxCold {
		t.Errorf("a cold target that bears %d had %d running and fell over %d times", coldBounds.MaxCold, state.MaxRunningCold, state.Crashes)
	}
}

// Full load from several routers on a cold target: never more than its bound,
// and full use in the stated time. Fails when the sidecar stops asking the gate.
func TestColdTargetRampsToFullUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newModelFleet(t, coldOptions)
		f.runCallers(coldBounds.RampTime(coldRequest), f.push)
		checkNeverOver(t, f)
		is.Equal(f.engines[0].State().MaxRunning, coldBounds.Max)
	})
}

// The target turns cold without warning while it is full, again while it is
// cold, and again while the sidecar restarts.
func TestSilentColdTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newModelFleet(t, coldOptions)
		warm := coldBounds.RampTime(coldRequest)
		f.runCallers(6*warm, func(ctx context.Context, group *sync.WaitGroup) {
			f.push(ctx, group)
			group.Go(func() {
				time.Sleep(warm)
				f.engines[0].TurnCold()
				time.Sleep(time.Second)
				f.engines[0].TurnCold()
				time.Sleep(warm)
				f.engines[0].TurnCold()
				f.restart(sidecarHost(0), func() { f.startModelSidecar(0) })
				time.Sleep(warm)
				f.restart(sidecarHost(0), func() { f.startModelSidecar(0) })
				time.Sleep(500 * time.Millisecond)
				f.engines[0].TurnCold()
			})
		})
		checkNeverOver(t, f)
		is.Equal(f.engines[0].State().Restarts, 4)
		is.Equal(f.engines[0].State().MaxRunning, coldBounds.Max)
	})
}

// The sidecar restarts in the middle of a cold start, while the target still
// runs what its predecessor had started.
func TestSidecarRestartsInTheMiddleOfAColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, coldOptions)
		f.runCallers(2*coldBounds.ColdDuration, func(ctx context.Context, group *sync.WaitGroup) {
			f.push(ctx, group)
			group.Go(func() {
				for range 4 {
					time.Sleep(coldBounds.ColdDuration / 5)
					f.restart(sidecarHost(0), func() { f.startModelSidecar(0) })
				}
			})
		})
		checkNeverOver(t, f)
	})
}

// The target turns cold while claims are under way to routers that are slow to
// answer: the sign of life from before their answers is too old.
func TestColdTurnDuringSlowClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, coldOptions)
		f.runCallers(6*coldBounds.RampTime(coldRequest), func(ctx context.Context, group *sync.WaitGroup) {
			f.push(ctx, group)
			group.Go(func() {
				for range 4 {
					time.Sleep(coldBounds.RampTime(coldRequest))
					for i := range f.routers {
						f.net.hold(routerHost(i), sidecar.ClaimTimeout*2/3)
					}
					time.Sleep(sidecar.ClaimTimeout / 2)
					f.engines[0].TurnCold()
				}
			})
		})
		checkNeverOver(t, f)
	})
}
