package evidence_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// maxZoneStopDelay is the maximum time from an accepted patch to the last request
// that starts in an availability zone that is out.
const maxZoneStopDelay = 2 * time.Second

// newZones returns a fleet with one version: old targets in availability zone a,
// new targets in availability zone b.
func newZones(t *testing.T, routers, each int) *fleet {
	f := newFleet(t, routers, each, each, nil)
	for _, tgt := range f.doc.Targets {
		tgt.Version = "v1"
	}
	return f
}

func zoneB(state zinniaquayv1.AvailabilityZone_State) func(*zinniaquayv1.Configuration) {
	return func(doc *zinniaquayv1.Configuration) { doc.Zones["b"].State = state }
}

var (
	takeOut   = zoneB(zinniaquayv1.AvailabilityZone_out)
	bringBack = zoneB(zinniaquayv1.AvailabilityZone_in)
)

// addrs returns the addresses of processes whose names have a prefix.
func (f *fleet) addrs(prefixes ...string) []string {
	var addrs []string
	for addr := range f.stores {
		for _, prefix := range prefixes {
			if strings.HasPrefix(addr, prefix) {
				addrs = append(addrs, addr)
			}
		}
	}
	return addrs
}

func TestZoneThatIsOutStartsNothingWithinTwoSeconds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// informed are the name prefixes of processes that receive the patch directly.
		informed []string
	}{
		{"all informed", []string{"r", "old", "new"}},
		{"a router cut off from the platform", []string{"r0", "old", "new"}},
		{"the zone's sidecars cut off from the platform", []string{"r", "old"}},
		{"platform down right after the patch: one router informed", []string{"r0"}},
		{"platform down right after the patch: one sidecar of the zone informed", []string{"new0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithFakeTime(t, func(t *testing.T) {
				is := is.New(t)
				f := newZones(t, 2, 2)
				f.start(nil)
				time.Sleep(time.Second)
				f.traffic(20*time.Millisecond, 5*time.Second)
				is.True(f.startedSince("new", time.Now().Add(-5*time.Second)) > 0)
				f.apply(takeOut, f.addrs(c.informed...)...)
				accepted := time.Now()
				statuses := f.traffic(20*time.Millisecond, 10*time.Second)
				is.Equal(f.startedSince("new", accepted.Add(maxZoneStopDelay)), 0)
				is.Equal(statuses[http.StatusOK], 500) // no request is lost
			})
		})
	}
}

func TestRoutersOrSidecarsAloneKeepRequestsOutOfAZone(t *testing.T) {
	t.Parallel()
	for _, informed := range []string{"r", "new"} {
		t.Run(informed, func(t *testing.T) {
			t.Parallel()
			runWithFakeTime(t, func(t *testing.T) {
				is := is.New(t)
				f := newZones(t, 2, 2)
				f.start(nil)
				time.Sleep(time.Second)
				f.traffic(20*time.Millisecond, time.Second)
				f.ignoreNewerNumbers.Store(true)
				f.apply(takeOut, f.addrs(informed)...)
				accepted := time.Now()
				statuses := f.traffic(20*time.Millisecond, 5*time.Second)
				is.Equal(f.startedSince("new", accepted.Add(maxZoneStopDelay)), 0)
				is.Equal(statuses[http.StatusOK], 250)
			})
		})
	}
}

func TestRunningRequestsFinishInAZoneThatIsTakenOut(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newZones(t, 1, 1)
		f.start(func(_ string, o *target.Options) { o.PerToken = 500 * time.Millisecond })
		time.Sleep(time.Second)
		go func() {
			time.Sleep(time.Second)
			f.apply(takeOut, f.addrs("r", "old", "new")...)
		}()
		begin := time.Now()
		// More requests than the other zone's cold target may run at once.
		statuses := f.traffic(10*time.Millisecond, 40*time.Millisecond)
		is.True(f.startedSince("new", begin) > 0)
		is.Equal(statuses, map[int]int{http.StatusOK: 4})
	})
}

func TestReturningZoneRampsUpAsCold(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newZones(t, 1, 1)
		f.start(nil)
		time.Sleep(time.Second)
		f.traffic(5*time.Millisecond, 20*time.Second)
		is.True(!f.sidecars["new0"].Status().GetCold()) // warm
		f.apply(takeOut, f.addrs("r", "old", "new")...)
		f.traffic(20*time.Millisecond, 5*time.Second)
		f.apply(bringBack, f.addrs("r", "old", "new")...)
		f.traffic(20*time.Millisecond, time.Second)
		is.True(f.startedSince("new", time.Now().Add(-time.Second)) > 0)
		status := f.sidecars["new0"].Status()
		is.True(status.GetCold())
		is.Equal(status.GetWindow(), uint64(f.doc.Targets["new0"].GetColdRunning()))
	})
}

func TestConcurrentPatchesConvergeOnTheHigherNumber(t *testing.T) {
	t.Parallel()
	runWithFakeTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newZones(t, 2, 2)
		f.start(nil)
		time.Sleep(time.Second)
		f.apply(takeOut, "r0:1")
		f.apply(bringBack, "r1:1")
		f.apply(takeOut, "new0:1")
		accepted := time.Now()
		f.traffic(20*time.Millisecond, 10*time.Second)
		is.Equal(f.startedSince("new", accepted.Add(maxZoneStopDelay)), 0)
		for _, addr := range f.addrs("r", "new") {
			is.Equal(f.stores[addr].Number(), f.doc.GetNumber())
		}
	})
}

// phase is the result of 30 seconds of traffic.
type phase struct {
	answered int
	// firstTokenP95 is the 95th percentile of the time to first token.
	firstTokenP95 time.Duration
}

// phases holds the results before, during and after an outage of an availability
// zone.
type phases struct {
	before, during, after phase
	// startedInZone counts requests that started in the zone later than
	// maxZoneStopDelay after it was taken out.
	startedInZone int
}

// phase sends traffic for 30 seconds and returns the result.
func (f *fleet) phase() phase {
	f.resetCounts()
	answered := f.traffic(50*time.Millisecond, 30*time.Second)[http.StatusOK]
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.Sort(f.firstTokens)
	return phase{answered, f.firstTokens[len(f.firstTokens)*95/100]}
}

// measureZoneOutage takes an availability zone out and back while one of two
// routers is cut off from the platform. With ignoreNumbers, processes ignore the
// configuration numbers on messages, so that sidecars do not receive the state of
// the zone.
func measureZoneOutage(t *testing.T, ignoreNumbers bool) (p phases) {
	runWithFakeTime(t, func(t *testing.T) {
		f := newZones(t, 2, 2)
		f.start(func(_ string, o *target.Options) {
			o.FirstToken, o.PerToken = 150*time.Millisecond, 50*time.Millisecond
		})
		time.Sleep(time.Second)
		f.traffic(50*time.Millisecond, 20*time.Second) // all targets are warm
		f.ignoreNewerNumbers.Store(ignoreNumbers)
		informed := f.addrs("r0")
		p.before = f.phase()
		f.apply(takeOut, informed...)
		out := time.Now()
		p.during = f.phase()
		p.startedInZone = f.startedSince("new", out.Add(maxZoneStopDelay))
		f.apply(bringBack, informed...)
		p.after = f.phase()
	})
	return p
}

func TestServiceWhileAZoneLeavesAndReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		wantAnswers = 600
		// maxFirstTokenP95 is the limit for the 95th percentile of the time to
		// first token.
		maxFirstTokenP95 = 640 * time.Millisecond
	)
	baseline := measureZoneOutage(t, true)
	both := measureZoneOutage(t, false)
	t.Logf("only routers check the zone: %+v; routers and sidecars check it: %+v", baseline, both)
	for _, p := range []phase{both.before, both.during, both.after} {
		is.Equal(p.answered, wantAnswers) // no request is lost when the zone leaves or returns
		is.True(p.firstTokenP95 <= maxFirstTokenP95)
	}
	is.Equal(both.startedInZone, 0)
	is.True(baseline.startedInZone > 0)
}
