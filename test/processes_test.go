package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream through real processes under one fault in its middle.
func TestProcessesAStreamUnderOneFault(t *testing.T) {
	t.Parallel()
	f := newProcessFleet(t, 1, 2, 20*time.Millisecond)
	r, s := f.routers[0], f.sidecars[1]
	for _, c := range []struct {
		name  string
		fault func()
		whole bool
	}{
		{"none", func() {}, true},
		{"router to sidecar goes silent for good", s.fromRouters.silence, true},
		{"router to sidecar is cut", s.fromRouters.cut, true},
		{"sidecar to target goes silent for good", s.toTarget.silence, true},
		{"both go silent for good", func() { s.fromRouters.silence(); s.toTarget.silence() }, true},
		{"sidecar frozen for 3s", func() { s.freeze(3 * time.Second) }, true},
		{"router frozen for 3s", func() { r.freeze(3 * time.Second) }, true},
		{"sidecar killed", func() { s.kill(); f.startSidecar(1) }, false},
		{"router killed", func() { r.kill(); f.startRouter(0) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.waitReady()
			timer := time.AfterFunc(time.Second, c.fault)
			defer timer.Stop()
			request := chat("a plan", 200, true)
			a := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(request))
			whole := made(request, a)
			if c.whole {
				is.NoErr(a.err)
				is.Equal(a.body, whole)
				return
			}
			is.True(a.err != nil)
			is.True(!strings.Contains(a.body, "[DONE]"))
			prefix, _, _ := strings.Cut(a.body, `data: {"error":`)
			is.True(strings.HasPrefix(whole, prefix))
		})
	}
}

// A caller that reads slowly gets its whole answer over connections that take no
// more than so much at a time.
func TestProcessesASlowCaller(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newProcessFleet(t, 1, 2, 0)
	request := chat("a long plan", 60_000, true)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.routers[0].callers+chatPath, strings.NewReader(bodyOf(request)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+accountKey)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	time.Sleep(4 * time.Second) // longer than a silent connection is waited for
	a := readAnswer(res)
	is.NoErr(a.err)
	is.True(a.body == made(request, a))
}

// Bookings through real processes that are killed, frozen and cut off, with
// callers that try again at the other router under the same key.
func TestProcessesNoBookingTwiceAndNoFalseNotRun(t *testing.T) {
	t.Parallel()
	const seed, callers, faults = 1, 24, 14
	f := newProcessFleet(t, 2, 3, 300*time.Millisecond)
	var mu sync.Mutex
	var all []booked
	var group sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
			b := f.book(rng, i)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, b)
		})
	}
	rng := rand.New(rand.NewPCG(seed, 1000))
	for range faults {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		f.fault(rng)
	}
	group.Wait()
	time.Sleep(runTimeout) // whatever could start late has started
	ledger := f.ledger()
	total := &tally{}
	for _, b := range all {
		if b.key != "" && ledger.ByKey[b.key] > 1 {
			t.Errorf("key %s ran %d times", b.key, ledger.ByKey[b.key])
		}
		for _, a := range b.answers {
			total.add(a)
			n := 0
			for id, runs := range ledger.ByRequestID {
				if a.id != "" && (id == a.id || strings.HasPrefix(id, a.id+".")) {
					n += runs
				}
			}
			if n > 1 || a.notRun && n > 0 {
				t.Errorf("request %s ran %d times, answered %d %s", a.id, n, a.status, a.kind)
			}
		}
	}
	total.report(t, "OK")
}

// book books one kit with up to four tries.
func (f *processFleet) book(rng *rand.Rand, i int) booked {
	b := booked{}
	if i%4 != 0 {
		b.key = fmt.Sprintf("key-%d", i)
	}
	for try := range 4 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(300+rng.IntN(4000))*time.Millisecond)
		a := f.call(ctx, (i+try)%2, http.MethodPost, "/v1/services/kits/bookings", b.key, fmt.Sprintf(`{"item":"kit-%d","quantity":1}`, i))
		cancel()
		b.answers = append(b.answers, a)
		if b.key == "" || (a.err == nil && a.kind == "") {
			return b
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
	return b
}

// fault does one random thing to the processes.
func (f *processFleet) fault(rng *rand.Rand) {
	i, s := rng.IntN(2), 2*rng.IntN(2)
	d := time.Duration(100+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(7) {
	case 0:
		f.routers[i].kill()
		f.startRouter(i)
	case 1:
		f.sidecars[s].kill()
		f.startSidecar(s)
	case 2:
		f.routers[i].freeze(d)
	case 3:
		f.sidecars[s].freeze(d)
	case 4:
		f.sidecars[s].fromRouters.silence()
	case 5:
		f.sidecars[s].toTarget.silence()
	case 6:
		f.sidecars[s].fromRouters.cut()
	}
}

// SIGTERM of a router or a sidecar cuts no stream in progress, and the process
// ends with success.
func TestProcessesPlannedStops(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"router", "sidecar"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newProcessFleet(t, 1, 2, 20*time.Millisecond)
			stopped := map[string]*child{"router": f.routers[0].child, "sidecar": f.sidecars[1].child}[name]
			var callers sync.WaitGroup
			answers := make([]answer, 6)
			request := chat("a plan", 150, true)
			for i := range answers {
				callers.Go(func() {
					answers[i] = f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(request))
				})
			}
			time.Sleep(time.Second) // all of them stream
			stopped.signal(syscall.SIGTERM)
			callers.Wait()
			for _, a := range answers {
				is.NoErr(a.err)
				is.Equal(a.body, made(request, a))
			}
			select {
			case <-stopped.ended:
				is.NoErr(stopped.err)
			case <-time.After(pollLimit):
				t.Fatal("the process did not end")
			}
		})
	}
}

// SIGTERM of a target, whose sidecar learns of it from the target alone, cuts no
// booking: what the target takes no more goes to another one, once.
func TestProcessesPlannedStopOfATarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startProcessFleet(t, &processFleet{t: t, direct: true}, 1, 3, 200*time.Millisecond)
	var callers sync.WaitGroup
	answers := make([]answer, 40)
	for i := range answers {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			answers[i] = f.call(t.Context(), 0, http.MethodPost, "/v1/services/kits/bookings", fmt.Sprint("key-", i), `{"item":"kit","quantity":1}`)
		})
	}
	time.Sleep(time.Second)
	f.targetProcesses[0].signal(syscall.SIGTERM)
	callers.Wait()
	<-f.targetProcesses[0].ended
	is.NoErr(f.targetProcesses[0].err)
	for _, a := range answers {
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
	}
	f.targets = f.targets[2:] // the ledger of the target that is gone is gone as well
	for _, n := range f.ledger().ByRequestID {
		is.Equal(n, 1)
	}
}
