package peer

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// settleTime is the time after which all processes of a started fleet have the
// full list of members.
const settleTime = 30 * time.Second

// maxPropagationTime is the time within which an accepted patch is in force in all
// processes of a fleet of the present size.
const maxPropagationTime = 2 * time.Second

// maxPropagationTimeTwoRegions is the same limit for 970 processes in two regions.
const maxPropagationTimeTwoRegions = 13 * time.Second

func TestPatchReachesAllProcessesWithinTwoSeconds(t *testing.T) {
	tests := []struct {
		name   string
		before func(f *fleet)
		after  func(f *fleet)
	}{
		{"no faults", func(*fleet) {}, func(*fleet) {}},
		{"one process is cut off from the platform", func(f *fleet) { f.at(7).link.SetCut(true) }, func(*fleet) {}},
		{"all but the accepting process are cut off", func(f *fleet) {
			for _, p := range f.all() {
				p.link.SetCut(p != f.at(3))
			}
		}, func(*fleet) {}},
		{"the platform goes down right after the patch", func(*fleet) {}, func(f *fleet) { f.memory.SetFaults(platform.Faults{Down: true}) }},
		{"watches are silent", func(f *fleet) { f.memory.SetFaults(platform.Faults{SilentWatches: true}) }, func(*fleet) {}},
		{"the accepting process crashes right after the patch", func(*fleet) {}, func(f *fleet) { f.kill(3) }},
		{"pushes do not arrive", func(f *fleet) {
			for _, p := range f.all() {
				p.link.SetCut(true)
				p.Members.SetReachable("p9", false, time.Now()) // no process pushes to p9; p9 still compares
			}
			f.at(3).link.SetCut(false)
		}, func(*fleet) {}},
		{"five processes have crashed undetected", func(f *fleet) {
			for i := 10; i < 15; i++ {
				f.kill(i)
			}
		}, func(*fleet) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 18, 3)
				defer f.stop()
				time.Sleep(settleTime)
				tt.before(f)
				number := f.patch(3)
				tt.after(f)
				took := f.propagationTime(number, 20*time.Second)
				t.Logf("in force everywhere after %v", took)
				is.True(took <= maxPropagationTime)
			})
		})
	}
}

func TestPatchReachesAllProcessesWithQuarterOfMessagesLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 18, 3)
		defer f.stop()
		time.Sleep(settleTime)
		for _, p := range f.all() {
			p.link.SetCut(p != f.at(3))
		}
		f.net.dropQuarter()
		took := f.propagationTime(f.patch(3), time.Minute)
		t.Logf("in force everywhere after %v", took)
		is.True(took <= maxPropagationTimeTwoRegions)
	})
}

func TestWatchesFindPatchWrittenOutsideFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 18, 3)
		defer f.stop()
		time.Sleep(settleTime)
		outside := configstore.NewEditor(f.memory, configstore.NewStore())
		_, err := outside.Patch(t.Context(), 1, []byte(`{}`))
		is.NoErr(err)
		is.True(f.propagationTime(2, 20*time.Second) <= maxPropagationTime)

		f.memory.SetFaults(platform.Faults{SilentWatches: true})
		_, err = outside.Patch(t.Context(), 2, []byte(`{}`))
		is.NoErr(err)
		took := f.propagationTime(3, 60*time.Second) // bounded by the renewal of watches
		t.Logf("in force everywhere after %v with silent watches", took)
		is.True(took <= WatchTimeout+watchGrace+maxPropagationTime)
	})
}

// maxCallsPerSecond is the stated limit of platform calls per second for three
// zones, for any number of processes: two watchers per zone renew a watch every
// 10 s and read the host list at intervals of at least 7.5 s, and the fleet polls
// once in 2 s on average, for which twice the average is allowed.
const (
	zones             = 3
	maxCallsPerSecond = 2*zones/10.0 + 2*zones/7.5 + 1
)

func TestSilentWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 1)
		defer f.stop()
		f.memory.SetFaults(platform.Faults{SilentWatches: true})
		begun := time.Now()
		_, err := f.at(0).watchOnce(t.Context(), 0)
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.Equal(time.Since(begun), WatchTimeout+watchGrace)
	})
}

// TestIsolatedProcessWatchesPlatform cuts a process off from all peers but not
// from the platform. The zone is too large for the process to detect this by
// finding its peers unreachable one by one.
func TestIsolatedProcessWatchesPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 150, 1)
		defer f.stop()
		time.Sleep(settleTime)
		f.net.setCut("p77", true)
		time.Sleep(settleTime)
		is.True(f.propagationTime(f.patch(0), 20*time.Second) <= maxPropagationTime)
	})
}

func TestSilentPeerDoesNotBlockFetchesFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1)
		defer f.stop()
		time.Sleep(settleTime)
		for _, addr := range []string{"p1", "p2", "p3"} {
			f.net.setCut(addr, true)
			f.at(int(addr[1] - '0')).link.SetCut(true)
		}
		number := f.patch(0)
		time.Sleep(settleTime)
		f.net.setCut("p1", false)
		f.at(1).queueHint(number, "p2")
		f.at(1).queueHint(number, "p3")
		f.at(1).queueHint(number, "p0")
		time.Sleep(FetchTimeout / 2)
		is.Equal(f.at(1).Store.Number(), number)
	})
}

func TestPlatformCallRateIsIndependentOfFleetSize(t *testing.T) {
	for _, processes := range []int{10, 100, 500} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const seconds = 60
				f := newFleet(t, processes, zones)
				defer f.stop()
				time.Sleep(settleTime)
				starting := f.memory.Calls().Total()
				time.Sleep(seconds * time.Second)
				rate := float64(f.memory.Calls().Total()-starting) / seconds
				t.Logf("%d processes: %d calls in the first %v, then %.2f calls/s; limit %.2f", processes, starting, settleTime, rate, maxCallsPerSecond)
				is.True(rate <= maxCallsPerSecond)
				// One call per process to start, and no surge of watchers meanwhile.
				is.True(float64(starting) <= float64(2*processes)+maxCallsPerSecond*settleTime.Seconds())

				f.memory.SetFaults(platform.Faults{Down: true})
				down := f.memory.Calls().Total()
				time.Sleep(seconds * time.Second)
				rate = float64(f.memory.Calls().Total()-down) / seconds
				t.Logf("%d processes: %.2f calls/s while down", processes, rate)
				is.True(rate <= maxCallsPerSecond+zones*2) // watchers retry at most once a second
			})
		})
	}
}

func TestPropagationTimeAndTrafficAtDesignSizeInTwoRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const processes, zones, bytesPerSecond = 970, 8, 4096
		f := newFleet(t, processes, zones)
		defer f.stop()
		time.Sleep(settleTime)
		t.Logf("starting took %d bytes per process", f.net.bytes.Load()/processes)
		before, begun := f.net.bytes.Load(), time.Now()
		f.at(5).link.SetCut(true)
		var slowest time.Duration
		for i := range 3 {
			slowest = max(slowest, f.propagationTime(f.patch(i*100), 20*time.Second))
			time.Sleep(10 * time.Second) // seven times the rate of 1,200 patches a day
		}
		// Each byte is sent by one process and received by another.
		rate := 2 * float64(f.net.bytes.Load()-before) / processes / time.Since(begun).Seconds()
		t.Logf("in force everywhere after at most %v; %.0f bytes/s sent and received per process", slowest, rate)
		is.True(slowest <= maxPropagationTimeTwoRegions)
		is.True(rate <= bytesPerSecond)
	})
}

func TestCorruptPatchFallsBackToFullDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 3)
		defer f.stop()
		time.Sleep(settleTime)
		for _, p := range f.all() {
			p.link.SetCut(p != f.at(0))
		}
		f.net.setCorrupt(func(resp *zinniaquayv1.FetchConfigurationResponse) {
			if len(resp.GetPatches()) > 0 {
				resp.Patches = [][]byte{[]byte(`{"zones":{"stale":{}}}`)}
			}
		})
		number := f.patch(0)
		is.True(f.propagationTime(number, 20*time.Second) <= maxPropagationTime)
		for _, p := range f.all() {
			is.Equal(p.Store.Current().Digest, f.at(0).Store.Current().Digest)
		}
		is.True(f.at(1).count.fetchedWhole.Count()+f.at(2).count.fetchedWhole.Count() > 0)
	})
}

func TestEnsureAtLeastFetchesBeforeItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1)
		defer f.stop()
		time.Sleep(settleTime)
		f.net.setCut("p1", true) // no push reaches p1
		f.at(1).link.SetCut(true)
		number := f.patch(0)
		time.Sleep(settleTime)
		is.Equal(f.at(1).Store.Number(), number-1)

		begun := time.Now()
		err := f.at(1).EnsureAtLeast(t.Context(), number, "p0")
		is.Equal(errkind.Of(err), errkind.NoConfiguration)
		is.True(time.Since(begun) <= 2*FetchTimeout) // the fetches from the silent peer time out
		f.net.setCut("p1", false)
		is.NoErr(f.at(1).EnsureAtLeast(t.Context(), number, "p0"))
		is.Equal(f.at(1).Store.Number(), number)
		err = f.at(1).EnsureAtLeast(t.Context(), number+1, "p0")
		is.True(errors.Is(err, configstore.ErrNothingNewer))
	})
}
