package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
)

const testService = "model"

// testView returns a view with the given numbers of targets and members.
func testView(targets, members int) *catalog.View {
	v := &catalog.View{
		Config: &catalog.Configuration{
			Services: map[string]*catalog.Service{testService: {Name: testService, ColdRequestsPerSecond: 13, MemoryTokens: 500000}},
			Limits:   catalog.Limits{TokensPerSecond: 290000},
		},
		Targets: make(map[string]*catalog.Target), Members: make(map[string]catalog.Member), ZonesOut: map[string]bool{},
	}
	for i := range targets {
		id := fmt.Sprintf("t-%d", i)
		v.Targets[id] = &catalog.Target{ID: id, Service: testService, Addr: id + ":1", Zone: "a", Version: "v1", Slots: 64}
	}
	for i := range members {
		name := fmt.Sprintf("edge-%d", i)
		v.Members[name] = catalog.Member{Name: name}
	}
	return v
}

func testDispatcher(name string, v *catalog.View) *Dispatcher {
	d := New(Config{Self: name, Zone: "a", ShareWindow: testWindow, ColdOverage: 1.5, ColdTolerance: 5, MaxQueued: 100})
	d.SetView(v)
	return d
}

// promptRequest returns a request whose prompt has a shared and an own part.
func promptRequest(d *Dispatcher, account string, shared uint64, sharedTokens, ownTokens int, now time.Time) *Request {
	sequence := d.NextSequence()
	return &Request{
		Sequence: sequence, Account: account, Service: testService, Arrived: now, Objective: 800 * time.Millisecond,
		Deadline: now.Add(10 * time.Second), TokensIn: sharedTokens + ownTokens, TokensOut: 300,
		Parts: []PromptPart{{Key: shared, Tokens: sharedTokens}, {Key: 1<<60 + sequence, Tokens: ownTokens}},
	}
}

// decideOne enqueues a request and returns the only decision of the next Decide.
func decideOne(t *testing.T, d *Dispatcher, r *Request, now time.Time) Decision {
	t.Helper()
	if !d.Enqueue(r, now) {
		t.Fatal("queue full")
	}
	decisions := d.Decide(now)
	if len(decisions) != 1 {
		t.Fatalf("%d decisions", len(decisions))
	}
	return decisions[0]
}

func TestPromptsWithASharedPrefixGoToOneTargetFromAllRouters(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := testView(12, 4)
	for shared := range uint64(20) {
		seen := map[string]bool{}
		for router := range 4 {
			d := testDispatcher(fmt.Sprintf("edge-%d", router), v)
			for i := range 3 {
				at := now.Add(time.Duration(i) * time.Second)
				decision := decideOne(t, d, promptRequest(d, "a", shared, 4800, 500, at), at)
				seen[decision.Target] = true
				d.ResponseStarted(decision.Request.Sequence, at)
				d.End(decision.Request.Sequence, Answered, at)
			}
		}
		is.Equal(len(seen), 1)
	}
}

func TestHotPrefixSpillsOverBeforeItsTargetMissesTheObjective(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(12, 1))
	for range 10 { // more than one engine can prefill in time
		is.True(d.Enqueue(promptRequest(d, "a", 7, 4800, 3000, now), now))
	}
	targets := map[string]int{}
	for waited := time.Duration(0); waited < 400*time.Millisecond; waited += 5 * time.Millisecond {
		for _, decision := range d.Decide(now.Add(waited)) {
			is.Equal(decision.Action, Send)
			is.True(waited+decision.PredictedWait < 800*time.Millisecond)
			targets[decision.Target]++
		}
	}
	is.True(len(targets) > 1)
	is.Equal(d.Queued(), 0)
}

func TestLongAndShortPromptsUseSeparateTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(12, 4))
	long, short := map[string]bool{}, map[string]bool{}
	for i := range 24 {
		at := now.Add(time.Duration(i) * 5 * time.Second)
		decision := decideOne(t, d, promptRequest(d, "a", uint64(i), 500, 30000, at), at)
		long[decision.Target] = true
		d.End(decision.Request.Sequence, Answered, at)
		decision = decideOne(t, d, promptRequest(d, "a", uint64(i), 500, 500, at), at)
		short[decision.Target] = true
		d.End(decision.Request.Sequence, Answered, at)
	}
	is.Equal(len(long), 2) // one in six
	for target := range long {
		is.True(!short[target])
	}
}

func TestRequestGoesOnlyToEligibleTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := testView(6, 1)
	v.Targets["t-0"].Leaving = true
	v.Targets["t-1"].Zone = "out"
	v.ZonesOut["out"] = true
	v.Targets["t-2"].Version = "v2"
	d := testDispatcher("edge-0", v)
	r := promptRequest(d, "a", 1, 100, 100, now)
	r.Exclude, r.Versions = map[string]bool{"t-3": true}, VersionFilter{Except: "v2"}
	decision := decideOne(t, d, r, now)
	d.End(decision.Request.Sequence, Unreachable, now)
	is.True(decision.Target == "t-4" || decision.Target == "t-5")
	again := promptRequest(d, "a", 1, 100, 100, now)
	again.Exclude, again.Versions = r.Exclude, r.Versions
	other := decideOne(t, d, again, now)
	is.True(other.Target != decision.Target && (other.Target == "t-4" || other.Target == "t-5")) // the first one counts as down
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(1, 1))
	r := promptRequest(d, "a", 1, 100, 20000, now)
	r.Deadline = now.Add(100 * time.Millisecond) // the prefill takes four times as long
	for d.targets["t-0"].ownLoad.Running < 64 {
		d.targets["t-0"].ownLoad.Running++
	}
	decision := decideOne(t, d, r, now)
	is.Equal(decision.Action, RefuseLate)
	is.True(decision.RetryAfter > 0)
}

func TestWaitingRequestIsRefusedInTimeForARetry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(1, 1))
	d.targets["t-0"].ownLoad.Running = 64
	is.True(d.Enqueue(promptRequest(d, "a", 1, 100, 100, now), now))
	is.Equal(len(d.Decide(now)), 0)
	is.Equal(len(d.Decide(now.Add(100*time.Millisecond))), 0)
	decisions := d.Decide(now.Add(200 * time.Millisecond)) // three quarters of its objective are left
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Action, RefuseLate)
	is.Equal(d.Queued(), 0)
}

func TestWithdrawnRequestIsNotDecided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(1, 1))
	d.targets["t-0"].ownLoad.Running = 64
	r := promptRequest(d, "a", 1, 100, 100, now)
	is.True(d.Enqueue(r, now))
	is.True(d.Withdraw(r.Sequence))
	is.True(!d.Withdraw(r.Sequence))
	is.Equal(len(d.Decide(now.Add(time.Hour))), 0)
}

func TestPeerLoadsCountUntilThePeerTimesOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := testView(2, 2)
	a, b := testDispatcher("edge-0", v), testDispatcher("edge-1", v)
	for range 10 {
		decideOne(t, a, promptRequest(a, "x", 5, 100, 100, now), now)
	}
	b.Merge("edge-0", a.Report(true, now), now)
	running := func(at time.Time) float64 {
		sum := 0.0
		b.averageLoads(at)
		for _, target := range b.targets {
			_, load := b.peerLoad(target, at)
			sum += load.Running
		}
		return math.Round(sum*1e6) / 1e6
	}
	is.Equal(running(now), 10.0)
	is.Equal(running(now.Add(minPeerTimeout)), 10.0)             // in all, wherever they are
	b.Merge("edge-0", a.Report(true, now), now.Add(time.Second)) // the usual interval is known
	b.ExpirePeers(now.Add(time.Second + minPeerTimeout + time.Millisecond))
	is.Equal(running(now.Add(2*time.Second+minPeerTimeout)), 0.0)
}

// Checks that no cold target gets more requests in a second than its bound, for any
// fleet size and with routers that have different views of the fleet.
func TestColdTargetRateIsBoundedAcrossTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 40).Draw(t, "routers")
		perSecond := rapid.IntRange(1, 400).Draw(t, "requests")
		perCold := float64(rapid.IntRange(1, 60).Draw(t, "borne"))
		limits := Config{Zone: "a", ShareWindow: testWindow, MaxQueued: 100,
			ColdOverage: 1 + rapid.Float64Range(0, 1).Draw(t, "overage"), ColdTolerance: float64(rapid.IntRange(1, 10).Draw(t, "tolerance"))}
		now := time.Unix(1000, 0)
		var fleet []*Dispatcher
		for i := range routers {
			// Half of the routers have an outdated view, in which all other members
			// are routers that are gone.
			v := testView(1, routers)
			v.Targets["t-0"].ColdUntil = now.Add(time.Hour)
			v.Config.Services[testService].ColdRequestsPerSecond = perCold
			if i%2 == 1 {
				v.Members = map[string]catalog.Member{fmt.Sprintf("edge-%d", i): {}}
				for j := range routers {
					v.Members[fmt.Sprintf("old-%d", j)] = catalog.Member{}
				}
			}
			limits.Self = fmt.Sprintf("edge-%d", i)
			fleet = append(fleet, New(limits))
			fleet[i].SetView(v)
		}
		var sent []time.Time
		for n := range 3 * perSecond {
			at := now.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
			d := fleet[rapid.IntRange(0, routers-1).Draw(t, "router")]
			r := promptRequest(d, "a", 1, 10, 10, at)
			d.Enqueue(r, at)
			for _, decision := range d.Decide(at) {
				if decision.Action == Send {
					sent = append(sent, at)
					d.End(decision.Request.Sequence, Answered, at)
				}
			}
		}
		bound := perCold*limits.ColdOverage + limits.ColdTolerance
		for i := range sent {
			within := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
				within++
			}
			if float64(within) > bound {
				t.Fatalf("%d requests in a second, bound %.1f", within, bound)
			}
		}
	})
}

func TestPrefixCacheEvictsLeastRecentlyUsedParts(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(1000)
	c.add([]PromptPart{{Key: 1, Tokens: 400}, {Key: 2, Tokens: 400}})
	is.Equal(c.cachedTokens([]PromptPart{{Key: 1, Tokens: 400}, {Key: 2, Tokens: 400}, {Key: 3, Tokens: 10}}), 800)
	is.Equal(c.cachedTokens([]PromptPart{{Key: 9, Tokens: 400}, {Key: 2, Tokens: 400}}), 0) // counts only if all parts before it are cached
	c.add([]PromptPart{{Key: 1, Tokens: 400}, {Key: 4, Tokens: 300}})
	is.Equal(c.cachedTokens([]PromptPart{{Key: 1, Tokens: 400}, {Key: 2, Tokens: 400}}), 400) // 2 was evicted
}

func TestUnreachableTargetIsAvoidedWithExponentialBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var h health
	var last time.Duration
	for range 6 {
		h.record(Unreachable, now)
		is.True(h.isDown(now))
		is.True(h.downUntil.Sub(now) >= last)
		last = h.downUntil.Sub(now)
		now = h.downUntil
		is.True(!h.isDown(now))
	}
	is.Equal(last, maxDownTime)
	for range 200 {
		h.record(Answered, now)
	}
	is.True(h.failureRatio() < 0.01)
}
