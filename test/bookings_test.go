package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// schedules is how many schedules of faults are tried, each from its own seed.
const schedules = 2000

// shards is how many schedules are tried at a time.
const shards = 3

// Whatever fails, in whatever order: no booking runs twice, and nothing that was
// answered "not run" has run.
func TestNoBookingTwiceAndNoFalseNotRun(t *testing.T) {
	total := &tally{}
	t.Run("schedules", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < schedules && !t.Failed(); seed += shards {
					synctest.Test(t, func(t *testing.T) { bookUnderFaults(t, uint64(seed), total) })
				}
			})
		}
	})
	total.report(t, "OK", "broken off", "outcome_unknown", "key_in_use", "platform_unavailable")
}

// tally counts over all schedules what callers heard, so that a test that tries
// nothing shows.
type tally struct {
	mu    sync.Mutex
	heard map[string]int
}

func (s *tally) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = make(map[string]int)
	}
	switch {
	case a.err != nil:
		s.heard["broken off"]++
	case a.kind != "":
		s.heard[string(a.kind)]++
	default:
		s.heard[http.StatusText(a.status)]++
	}
}

func (s *tally) report(t *testing.T, wanted ...string) {
	t.Logf("callers heard: %v", s.heard)
	for _, want := range wanted {
		if s.heard[want] == 0 {
			t.Errorf("no caller heard %q: the schedules don't try what they should", want)
		}
	}
}

// booked is what one caller heard for one booking.
type booked struct {
	key     string
	answers []answer
}

func bookUnderFaults(t *testing.T, seed uint64, total *tally) {
	rng := rand.New(rand.NewPCG(seed, 5))
	f := newFleet(t, fleetOptions{routers: 2, targets: 3, only: bookingTargets, maxRunning: 2, target: target.Options{PerToken: 400 * time.Millisecond}})
	var mu sync.Mutex
	var all []booked
	var callers sync.WaitGroup
	for i := range 8 {
		source := rand.New(rand.NewPCG(seed, uint64(100+i)))
		callers.Go(func() {
			b := f.book(source, i)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, b)
		})
	}
	for range 4 + rng.IntN(5) {
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		f.fault(rng, 2*rng.IntN(2))
	}
	time.Sleep(time.Second)
	f.kv.SetFaults(platform.Faults{})
	callers.Wait()
	time.Sleep(runTimeout)
	f.checkBookings(t, seed, all, total)
	f.close()
}

// book books one kit, and tries again at the other router with the same key as
// a caller does that got no clear answer.
func (f *fleet) book(rng *rand.Rand, i int) booked {
	b := booked{}
	if i%4 != 0 {
		b.key = fmt.Sprintf("key-%d", i)
	}
	time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	if i%4 == 3 {
		return f.bookAtOnce(rng, i, b)
	}
	for try := range 4 {
		a := f.tryBook(time.Duration(200+rng.IntN(4000))*time.Millisecond, (i+try)%2, i, b.key)
		b.answers = append(b.answers, a)
		if b.key == "" || (a.err == nil && a.kind == "") {
			return b
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	return b
}

// bookAtOnce books one kit at both routers at about the same time, as a caller
// does that hedges.
func (f *fleet) bookAtOnce(rng *rand.Rand, i int, b booked) booked {
	var mu sync.Mutex
	var tries sync.WaitGroup
	for try := range 4 {
		patience, pause := time.Duration(200+rng.IntN(4000))*time.Millisecond, time.Duration(rng.IntN(3))*time.Millisecond
		tries.Go(func() {
			time.Sleep(pause)
			a := f.tryBook(patience, (i+try)%2, i, b.key)
			mu.Lock()
			defer mu.Unlock()
			b.answers = append(b.answers, a)
		})
	}
	tries.Wait()
	return b
}

// tryBook sends one booking and waits for the answer as long as patience lasts.
func (f *fleet) tryBook(patience time.Duration, to, i int, key string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return f.call(ctx, to, http.MethodPost, "/v1/services/kits/bookings", key, fmt.Sprintf(`{"item":"kit-%d","quantity":1}`, i))
}

// fault does one random thing to the fleet, at sidecar s if at any.
func (f *fleet) fault(rng *rand.Rand, s int) {
	r := rng.IntN(2)
	d := time.Duration(100+rng.IntN(3000)) * time.Millisecond
	switch rng.IntN(13) {
	case 0:
		f.restart(routerHost(r), func() { f.startRouter(r) })
	case 1:
		f.restart(sidecarHost(s), func() { f.startSidecar(s, 0) })
	case 2:
		f.net.hold(routerHost(r), d)
	case 3:
		f.net.hold(sidecarHost(s), d)
	case 4:
		f.net.silence(routerHost(r), sidecarHost(s))
	case 5:
		f.net.silence(sidecarHost(s), routerHost(r))
	case 6:
		f.net.cut(routerHost(r), sidecarHost(s))
		f.net.cut(sidecarHost(s), routerHost(r))
	case 7:
		f.net.silence(sidecarHost(s), targetHost(s))
	case 8:
		f.net.cut(sidecarHost(s), targetHost(s))
	case 9:
		f.net.cut(callerHost, routerHost(r))
	case 10:
		f.kv.SetFaults(platform.Faults{Down: rng.IntN(2) == 0, LoseWriteAnswers: rng.IntN(2) == 0, Slow: time.Duration(rng.IntN(700)) * time.Millisecond})
	case 11:
		f.links[r].SetCut(!f.cutLink(r))
	case 12:
		if rng.IntN(2) == 0 {
			d = 9 * time.Second // long enough for the router to give the sidecar up
		}
		f.net.part(routerHost(r), sidecarHost(s), true)
		time.AfterFunc(d, func() { f.net.part(routerHost(r), sidecarHost(s), false) })
	}
}

// cutLink reports whether a router's way to the platform is cut.
func (f *fleet) cutLink(r int) bool {
	_, err := f.links[r].Get(context.Background(), "probe")
	return err != nil
}

// runs returns how often the targets ran a request, over all its hand-outs, or a
// key.
func (f *fleet) runs(id, key string) (byID, byKey int) {
	for _, b := range f.bookings {
		ledger := b.Ledger()
		for name, n := range ledger.ByRequestID {
			if name == id || strings.HasPrefix(name, id+".") {
				byID += n
			}
		}
		byKey += ledger.ByKey[key]
	}
	return byID, byKey
}

func (f *fleet) checkBookings(t *testing.T, seed uint64, all []booked, total *tally) {
	for _, b := range all {
		if _, n := f.runs("", b.key); b.key != "" && n > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, b.key, n)
		}
		for _, a := range b.answers {
			total.add(a)
			if a.id == "" {
				continue
			}
			n, byKey := f.runs(a.id, b.key)
			switch {
			case n > 1:
				t.Errorf("seed %d: request %s ran %d times", seed, a.id, n)
			case a.notRun && n > 0:
				t.Errorf("seed %d: request %s ran and was answered %s, not run", seed, a.id, a.kind)
			case a.err == nil && a.kind == "" && n == 0 && byKey == 0:
				t.Errorf("seed %d: request %s was answered %d %q and never ran", seed, a.id, a.status, a.body)
			}
		}
	}
}
