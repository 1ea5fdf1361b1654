package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// drainTimeout is how long a graceful shutdown may wait for requests.
const drainTimeout = 150 * time.Second

// shutdown ends the process on a host as a planned stop does: it drains, then
// closes its servers, then the host is gone.
func (f *fleet) shutdown(h string, drain func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := drain(ctx)
	// What is left after the drain is at most the last bytes of an answer.
	last, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	for _, s := range f.running[h].servers {
		_ = s.Shutdown(last)
	}
	f.running[h].stop()
	f.net.kill(h)
	return err
}

// leavingFleet is a fleet with two routers, two engines and two booking targets.
func leavingFleet(t *testing.T) *fleet {
	return newFleet(t, fleetOptions{
		routers: 2, targets: 4, maxRunning: 4,
		target: target.Options{Version: "v1", PerToken: 40 * time.Millisecond, ResumeGrace: 10 * time.Second},
	})
}

// load sends a stream and a booking every 50 ms for 4 s, by turns at the routers
// given, and returns what the callers got.
func (f *fleet) load(routers ...int) []answer {
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	for i := range 80 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			to := routers[i%len(routers)]
			request := chat(fmt.Sprint("plan ", i), 10, true)
			a := f.call(context.Background(), to, http.MethodPost, chatPath, "", bodyOf(request))
			b := f.call(context.Background(), to, http.MethodPost, "/v1/services/kits/bookings", fmt.Sprint("key-", i), `{"item":"kit","quantity":1}`)
			f.checkAnswer(f.t, 0, request, a)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a, b)
		})
	}
	callers.Wait()
	return answers
}

// A planned stop of a sidecar cuts nothing, and its target gets nothing new from
// the moment on that it leaves.
func TestAPlannedStopOfASidecarCutsNothing(t *testing.T) {
	for _, leaving := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := leavingFleet(t)
			defer f.close()
			var drained error
			var after int
			stop := make(chan struct{})
			go func() {
				defer close(stop)
				time.Sleep(time.Second)
				before := f.given(leaving)
				drained = f.shutdown(sidecarHost(leaving), f.sidecars[leaving].Drain)
				after = f.given(leaving) - before
			}()
			for _, a := range f.load(0, 1) {
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
			}
			<-stop
			is.NoErr(drained)
			is.True(after <= 1) // at most what was being offered at that moment
			is.True(f.given(leaving) > 0)
		})
	}
}

// given returns how much work a target was offered.
func (f *fleet) given(i int) int {
	if b := f.bookings[i]; b != nil {
		return len(b.Ledger().ByRequestID)
	}
	return f.engines[i].State().Started
}

// A planned stop of a router cuts nothing that it holds; what comes afterwards
// is refused and has not run.
func TestAPlannedStopOfARouterCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := leavingFleet(t)
		defer f.close()
		var drained error
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			time.Sleep(time.Second)
			go func() {
				time.Sleep(time.Millisecond)
				is.Equal(f.call(t.Context(), 0, http.MethodGet, "/readyz", "", "").kind, errkind.Draining)
				is.Equal(f.call(t.Context(), 1, http.MethodGet, "/readyz", "", "").status, http.StatusOK)
				// The balancer has not seen it yet.
				is.Equal(f.call(t.Context(), 0, http.MethodGet, stockPath, "", "").status, http.StatusOK)
			}()
			drained = f.shutdown(routerHost(0), f.routers[0].Drain)
		}()
		refused := 0
		for _, a := range f.load(0) {
			switch {
			case a.kind == errkind.Draining:
				refused++
				is.True(a.notRun)
				n, _ := f.runs(a.id, "none")
				is.Equal(n, 0)
			case a.id == "" && a.err != nil:
				refused++ // the router was gone before the call
			default:
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
			}
		}
		<-stop
		is.NoErr(drained)
		is.True(refused > 0 && refused < 160)
	})
}

// All sidecars and routers stop at once, as before a new release: what runs ends
// and what waits hears the truth.
func TestAPlannedStopOfEverythingTellsTheTruth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := leavingFleet(t)
		defer f.close()
		time.AfterFunc(time.Second, func() {
			for i, s := range f.sidecars {
				go func() { is.NoErr(f.shutdown(sidecarHost(i), s.Drain)) }()
			}
			for i, r := range f.routers {
				go func() { is.NoErr(f.shutdown(routerHost(i), r.Drain)) }()
			}
		})
		for _, a := range f.load(0, 1) {
			is.True(a.err == nil || a.id == "") // nothing that was begun is cut
			is.True(a.kind == "" || a.notRun)
			if n, _ := f.runs(a.id, "none"); a.notRun {
				is.Equal(n, 0)
			}
		}
	})
}

// A sidecar that leaves stays until its router has the answers, however late
// that fetches them.
func TestALeavingSidecarStaysUntilItsAnswersAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := answerFleet(t, 0)
		defer f.close()
		stop := make(chan error, 1)
		time.AfterFunc(time.Second, func() {
			f.net.hold(routerHost(0), 5*time.Second) // the answer ends after 3 s
			stop <- f.shutdown(sidecarHost(1), f.sidecars[1].Drain)
		})
		request := chat("a plan", 60, true)
		a := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(request))
		is.NoErr(a.err)
		is.Equal(a.body, made(request, a))
		is.NoErr(<-stop)
	})
}
