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

// outWithin is the time from an accepted patch to the last start in a zone that
// is out.
const outWithin = 2 * time.Second

// newZones returns a fleet of one version: old targets in zone a, new ones in b.
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
		// informed are the processes that the patch reaches by itself.
		informed []string
	}{
		{"all informed", []string{"r", "old", "new"}},
		{"a router cut off from the platform", []string{"r0", "old", "new"}},
		{"the zone's sidecars cut off from the platform", []string{"r", "old"}},
		{"platform down right after the patch: one router heard", []string{"r0"}},
		{"platform down right after the patch: one sidecar of the zone heard", []string{"new0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newZones(t, 2, 2)
				f.start(nil)
				time.Sleep(time.Second)
				f.traffic(20*time.Millisecond, 5*time.Second)
				is.True(f.started("new", time.Now().Add(-5*time.Second)) > 0)
				f.apply(takeOut, f.addrs(c.informed...)...)
				accepted := time.Now()
				statuses := f.traffic(20*time.Millisecond, 10*time.Second)
				is.Equal(f.started("new", accepted.Add(outWithin)), 0)
				is.Equal(statuses[http.StatusOK], 500) // nothing is lost
			})
		})
	}
}

func TestEitherEndAloneKeepsWorkOffAZone(t *testing.T) {
	t.Parallel()
	for _, informed := range []string{"r", "new"} {
		t.Run(informed, func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newZones(t, 2, 2)
				f.start(nil)
				time.Sleep(time.Second)
				f.traffic(20*time.Millisecond, time.Second)
				f.deaf.Store(true)
				f.apply(takeOut, f.addrs(informed)...)
				accepted := time.Now()
				statuses := f.traffic(20*time.Millisecond, 5*time.Second)
				is.Equal(f.started("new", accepted.Add(outWithin)), 0)
				is.Equal(statuses[http.StatusOK], 250)
			})
		})
	}
}

func TestWorkInProgressInAZoneThatGoesOutFinishes(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newZones(t, 1, 1)
		f.start(func(_ string, o *target.Options) { o.PerToken = 500 * time.Millisecond })
		time.Sleep(time.Second)
		go func() {
			time.Sleep(time.Second)
			f.apply(takeOut, f.addrs("r", "old", "new")...)
		}()
		begin := time.Now()
		// More than the other zone's cold target bears at once.
		statuses := f.traffic(10*time.Millisecond, 40*time.Millisecond)
		is.True(f.started("new", begin) > 0)
		is.Equal(statuses, map[int]int{http.StatusOK: 4})
	})
}

func TestZoneThatComesBackRampsUpAsIfCold(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
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
		is.True(f.started("new", time.Now().Add(-time.Second)) > 0)
		status := f.sidecars["new0"].Status()
		is.True(status.GetCold())
		is.Equal(status.GetWindow(), uint64(f.doc.Targets["new0"].GetColdRunning()))
	})
}

func TestRacingPatchesEndWithTheHigherNumberEverywhere(t *testing.T) {
	t.Parallel()
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newZones(t, 2, 2)
		f.start(nil)
		time.Sleep(time.Second)
		f.apply(takeOut, "r0:1")
		f.apply(bringBack, "r1:1")
		f.apply(takeOut, "new0:1")
		accepted := time.Now()
		f.traffic(20*time.Millisecond, 10*time.Second)
		is.Equal(f.started("new", accepted.Add(outWithin)), 0)
		for _, addr := range f.addrs("r", "new") {
			is.Equal(f.stores[addr].Number(), f.doc.GetNumber())
		}
	})
}

// phase is what 30 seconds of traffic gave.
type phase struct {
	answered int
	// firstToken95 is the time to first token that 95 in 100 answers kept.
	firstToken95 time.Duration
}

// phases is what traffic gave before, while and after a zone was out.
type phases struct {
	before, during, after phase
	// startedInZone counts starts in the zone later than outWithin.
	startedInZone int
}

// phase sends traffic for 30 seconds.
func (f *fleet) phase() phase {
	f.forget()
	answered := f.traffic(50*time.Millisecond, 30*time.Second)[http.StatusOK]
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.Sort(f.firstTokens)
	return phase{answered, f.firstTokens[len(f.firstTokens)*95/100]}
}

// leaveAndReturn takes a zone out and back while one of two routers is cut off
// from the platform. In a fleet that is deaf, processes do not learn from the
// numbers on messages, and sidecars know nothing of zones.
func leaveAndReturn(t *testing.T, deaf bool) (p phases) {
	bubble(t, func(t *testing.T) {
		f := newZones(t, 2, 2)
		f.start(func(_ string, o *target.Options) {
			o.FirstToken, o.PerToken = 150*time.Millisecond, 50*time.Millisecond
		})
		time.Sleep(time.Second)
		f.traffic(50*time.Millisecond, 20*time.Second) // all targets are warm
		f.deaf.Store(deaf)
		told := f.addrs("r0")
		p.before = f.phase()
		f.apply(takeOut, told...)
		out := time.Now()
		p.during = f.phase()
		p.startedInZone = f.started("new", out.Add(outWithin))
		f.apply(bringBack, told...)
		p.after = f.phase()
	})
	return p
}

func TestServiceWhileAZoneLeavesAndReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const (
		asked = 600
		// firstTokenBound is the time to first token that 95 in 100 are to keep.
		firstTokenBound = 640 * time.Millisecond
	)
	baseline := leaveAndReturn(t, true)
	both := leaveAndReturn(t, false)
	t.Logf("only routers stop: %+v; consent of both ends: %+v", baseline, both)
	for _, p := range []phase{both.before, both.during, both.after} {
		is.Equal(p.answered, asked) // nothing is lost in either direction
		is.True(p.firstToken95 <= firstTokenBound)
	}
	is.Equal(both.startedInZone, 0)
	is.True(baseline.startedInZone > 0)
}
