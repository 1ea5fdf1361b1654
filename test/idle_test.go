package test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

const (
	// idleBound is how long a request may wait while an eligible target has room.
	idleBound = 50 * time.Millisecond
	// recoverTime is how long a router takes at most to learn that a sidecar has
	// restarted and to offer what it had again: it tries each 50 ms, and pauses.
	recoverTime = 100 * time.Millisecond
	// lostTime is how long claims over a silent connection hold places: one that
	// is sent just before another one runs out holds its place as long again.
	lostTime = 2 * sidecar.ClaimTimeout
	// lookEvery is how often the test looks.
	lookEvery = time.Millisecond
	// answerTime is from the start of a request at the target until its caller
	// sees the head of the answer: the first token and three hops.
	answerTime = perToken + 3*loopback
	// loopback is the time of a packet between two processes of one machine.
	loopback = 100 * time.Microsecond
	// idleTargets is the number of model workers of today.
	idleTargets = 12
)

// idleBounds are the targets of the tests, which are never cold.
var idleBounds = capacity.Bounds{MaxCold: 2, Max: 2, ColdDuration: time.Millisecond}

var idleOptions = modelOptions{
	routers: 3, services: slices.Repeat([]string{"planner"}, idleTargets), latency: loopback,
	accounts: []string{"large", "village"}, bounds: idleBounds,
	engine: target.Options{Name: "e", Version: "v1", PerToken: perToken},
}

// pending is the requests that have no answer yet, each with the time from which
// it has waited beside a target with room.
type pending struct {
	mu      sync.Mutex
	since   map[int]time.Time
	number  int
	longest time.Duration
}

// begin notes that a request is sent.
func (p *pending) begin() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	p.since[p.number] = time.Now()
	return p.number
}

// end notes that the answer to a request has begun, or that there is none.
func (p *pending) end(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since, ok := p.since[n]; ok {
		p.longest = max(p.longest, time.Since(since))
		delete(p.since, n)
	}
}

// noRoom notes that no target has room now.
func (p *pending) noRoom() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, since := range p.since {
		p.longest = max(p.longest, time.Since(since))
		p.since[n] = time.Now()
	}
}

// watch looks for room until the context ends.
func (p *pending) watch(ctx context.Context, f *modelFleet, up func(i int) bool) {
	for ctx.Err() == nil {
		if !f.hasRoom(up) {
			p.noRoom()
		}
		time.Sleep(lookEvery)
	}
	p.noRoom() // what still waits counts too
}

// hasRoom reports whether any engine that is up runs less than it may.
func (f *modelFleet) hasRoom(up func(i int) bool) bool {
	for i, e := range f.engines {
		if up(i) && e.State().Running < idleBounds.Max {
			return true
		}
	}
	return false
}

// always is up of targets whose sidecars all run.
func always(int) bool { return true }

// trickle sends requests of any length at random times, somewhat less than the
// targets bear, so that there is always room soon and often something waits.
func (f *modelFleet) trickle(ctx context.Context, group *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(4, 4))
	group.Go(func() {
		for ctx.Err() == nil {
			// 0.3 s a request on average, and 90% of what the targets bear.
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(300*time.Millisecond) / float64(idleTargets*idleBounds.Max) / 0.9))
			to, tokens := rng.IntN(len(f.routers)), 1+rng.IntN(59)
			group.Go(func() { f.ask(ctx, to, []string{"large", "village"}[tokens%2], "planner", tokens) })
		}
	})
}

// watched runs a load for a time and fails if a request waited for longer than
// bound while there was room.
func (f *modelFleet) watched(d, bound time.Duration, up func(i int) bool, load ...func(ctx context.Context, group *sync.WaitGroup)) {
	f.pending = &pending{since: make(map[int]time.Time)}
	f.runCallers(d, func(ctx context.Context, group *sync.WaitGroup) {
		time.Sleep(100 * time.Millisecond) // the first load reports
		for _, l := range load {
			l(ctx, group)
		}
		group.Go(func() { f.pending.watch(ctx, f, up) })
	})
	f.t.Logf("longest wait beside room: %v", f.pending.longest-answerTime)
	if f.pending.longest > bound+answerTime {
		f.t.Errorf("a request waited %v while a target had room, over %v", f.pending.longest-answerTime, bound)
	}
}

// Requests come and go at random at all routers. Fails when routers stop placing
// reservations or sidecars stop claiming.
func TestNothingWaitsBesideRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, idleOptions)
		f.watched(20*time.Second, idleBound, always, f.trickle)
	})
}

// All reservations are with busy targets, but for those of a sidecar that has
// lost its memory, which the router takes for told: it asks for work itself.
// Fails when idle sidecars stop sampling routers.
func TestSidecarWithoutMemoryTakesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const last = idleTargets - 1
		f := newModelFleet(t, idleOptions)
		var mu sync.Mutex
		cameUp := false
		up := func(i int) bool {
			mu.Lock()
			defer mu.Unlock()
			return i != last || cameUp
		}
		f.watched(5*time.Second, idleBound, up, func(ctx context.Context, group *sync.WaitGroup) {
			f.callers(ctx, group, 30, 0, "large", "planner", 400)
			group.Go(func() {
				time.Sleep(time.Second)
				f.restart(sidecarHost(last), func() { f.startModelSidecar(last) })
				mu.Lock()
				defer mu.Unlock()
				cameUp = true
			})
		})
	})
}

// Sidecars come and go: what they had runs elsewhere, and those that are up take
// what waits.
func TestSidecarsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, idleOptions)
		f.watched(20*time.Second, idleBound+recoverTime, func(i int) bool { return i >= 2 }, f.trickle, func(ctx context.Context, group *sync.WaitGroup) {
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					time.Sleep(1300 * time.Millisecond)
					i := n % 2
					f.restart(sidecarHost(i), func() { f.startModelSidecar(i) })
				}
			})
		})
	})
}

// Connections over which claims go fall silent for good, again and again.
func TestLostClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, idleOptions)
		f.watched(20*time.Second, idleBound+lostTime+recoverTime, always, f.trickle, func(ctx context.Context, group *sync.WaitGroup) {
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					time.Sleep(1700 * time.Millisecond)
					f.net.silence(sidecarHost(n%idleTargets), routerHost(n%3))
				}
			})
		})
	})
}

// A claim is lost and no other target may serve the request: the same sidecar
// claims it again.
func TestLostClaimIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := idleOptions
		o.services = []string{"planner"}
		f := newModelFleet(t, o)
		f.watched(5*time.Second, idleBound+lostTime+recoverTime, always, func(ctx context.Context, group *sync.WaitGroup) {
			group.Go(func() {
				for ctx.Err() == nil {
					f.ask(ctx, 0, "village", "planner", fairTokens)
					f.net.silence(sidecarHost(0), routerHost(0))
				}
			})
		})
	})
}
