package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/retry"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

const (
	// overloadRun is the time that one request takes at its target.
	overloadRun = 200 * time.Millisecond
	// overloadSlots is how many requests the one target runs at once.
	overloadSlots = 4
	// overloadTime is how long load is offered.
	overloadTime = 20 * time.Second
	// goodputFloor is the least share of the peak that overload may leave.
	goodputFloor = 0.95
)

// targetRate is how many requests a second the target can answer.
const targetRate = float64(overloadSlots) * float64(time.Second) / float64(overloadRun)

// goodput offers a multiple of the capacity to two routers and returns how many
// requests a second got their answers before their callers lost patience.
func goodput(t *testing.T, multiple float64, patience time.Duration) float64 {
	var good atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetOptions{routers: 2, targets: 1, maxRunning: overloadSlots, target: target.Options{PerToken: overloadRun}})
		defer f.close()
		time.Sleep(time.Second)
		gap := time.Duration(float64(time.Second) / (targetRate * multiple))
		end := time.Now().Add(overloadTime)
		for i := 0; time.Now().Before(end); i++ {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				a := f.call(ctx, i%2, http.MethodGet, stockPath, "", "")
				if a.err == nil && a.status == http.StatusOK && time.Now().Before(end) {
					good.Add(1)
				}
			}()
			time.Sleep(gap)
		}
		time.Sleep(patience)
	})
	return float64(good.Load()) / overloadTime.Seconds()
}

// Overload leaves the goodput of the peak, whether callers wait for long or not.
func TestGoodputUnderOverload(t *testing.T) {
	for _, patience := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
		t.Run(fmt.Sprint(patience), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			peak := 0.0
			measured := make(map[float64]float64)
			for _, multiple := range []float64{0.5, 1, 2, 4, 8} {
				measured[multiple] = goodput(t, multiple, patience)
				peak = max(peak, measured[multiple])
			}
			t.Logf("patience %v, capacity %.0f/s, goodput by multiple of capacity: %.1f", patience, targetRate, measured)
			for _, multiple := range []float64{2, 4, 8} {
				is.True(measured[multiple] >= goodputFloor*peak)
			}
		})
	}
}

// Targets that fail are offered little more than the requests that come.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := answerFleet(t, 0)
		defer f.close()
		f.engines[1].SetFaults(target.Faults{FailShare: 1})
		const requests, gap = 400, 20 * time.Millisecond
		var failed atomic.Int64
		for i := range requests {
			go func() {
				a := f.call(context.Background(), 0, http.MethodPost, chatPath, "", bodyOf(chat(fmt.Sprint(i), 5, true)))
				if a.kind == errkind.TargetFailed && !a.notRun {
					failed.Add(1)
				}
			}()
			time.Sleep(gap)
		}
		time.Sleep(runTimeout)
		seconds := (requests * gap).Seconds()
		offered := f.offered()
		t.Logf("%d requests, %d offers", requests, offered)
		is.True(offered > requests/2)
		is.True(float64(offered) <= requests*(1+retry.Ratio)+retry.MinPerSecond*(seconds+runTimeout.Seconds()+1))
	})
}

// A request's deadline holds at the target as well, and work ends with it.
func TestTheDeadlineEndsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := answerFleet(t, 0)
		defer f.close()
		start := time.Now()
		whole := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(chat("long", 2000, false)))
		is.Equal(whole.kind, errkind.RunTimeout)
		is.Equal(time.Since(start).Truncate(time.Second), runTimeout)
		streamed := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(chat("long", 2000, true)))
		is.True(streamed.err != nil)
		time.Sleep(time.Second)
		is.Equal(f.engines[1].State().Running, 0)
	})
}

// The deadline holds at the target though the router that set it is gone.
func TestTheDeadlineEndsTheWorkOfALostRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := answerFleet(t, 0)
		defer f.close()
		time.AfterFunc(time.Second, func() { f.restart(routerHost(0), func() { f.startRouter(0) }) })
		a := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(chat("long", 2000, true)))
		is.True(a.err != nil)
		is.Equal(f.engines[1].State().Running, 1)
		time.Sleep(runTimeout)
		is.Equal(f.engines[1].State().Running, 0)
	})
}

// A request whose deadline passes while it waits is refused and never starts.
func TestAnExpiredRequestNeverStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, fleetOptions{routers: 1, targets: 1, maxRunning: 1, target: target.Options{PerToken: runTimeout - time.Second}})
		defer f.close()
		var expired atomic.Int64
		var callers sync.WaitGroup
		for range 5 {
			callers.Go(func() {
				a := f.call(context.Background(), 0, http.MethodPost, "/v1/services/kits/bookings", "", `{"item":"kit","quantity":1}`)
				n, _ := f.runs(a.id, "none")
				is.Equal(a.notRun, n == 0)
				if a.kind == errkind.WaitTimeout {
					expired.Add(1)
				}
			})
		}
		callers.Wait()
		time.Sleep(runTimeout)
		is.Equal(len(f.bookings[0].Ledger().ByRequestID)+int(expired.Load()), 5)
		is.True(expired.Load() >= 3)
	})
}
