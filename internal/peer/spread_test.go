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

// settle is the time after which a fleet that started knows its members.
const settle = 30 * time.Second

// inForceToday is the time in which an accepted patch is in force everywhere at
// today's size.
const inForceToday = 2 * time.Second

// inForceTwoRegions is that time at 970 processes over two regions.
const inForceTwoRegions = 13 * time.Second

func TestAPatchIsInForceEverywhereWithinTwoSeconds(t *testing.T) {
	tests := []struct {
		name   string
		before func(f *fleet)
		after  func(f *fleet)
	}{
		{"all is well", func(*fleet) {}, func(*fleet) {}},
		{"one process is cut off from the platform", func(f *fleet) { f.at(7).link.SetCut(true) }, func(*fleet) {}},
		{"all but the accepting process are cut off", func(f *fleet) {
			for _, p := range f.all() {
				p.link.SetCut(p != f.at(3))
			}
		}, func(*fleet) {}},
		{"the platform goes down right after", func(*fleet) {}, func(f *fleet) { f.memory.SetFaults(platform.Faults{Down: true}) }},
		{"watches have gone silent", func(f *fleet) { f.memory.SetFaults(platform.Faults{SilentWatches: true}) }, func(*fleet) {}},
		{"the accepting process dies right after", func(*fleet) {}, func(f *fleet) { f.kill(3) }},
		{"pushes do not arrive", func(f *fleet) {
			for _, p := range f.all() {
				p.link.SetCut(true)
				p.Members.SetReachable("p9", false, time.Now()) // nobody chooses p9; it compares by itself
			}
			f.at(3).link.SetCut(false)
		}, func(*fleet) {}},
		{"five processes have died unnoticed", func(f *fleet) {
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
				time.Sleep(settle)
				tt.before(f)
				number := f.patch(3)
				tt.after(f)
				took := f.spreadTime(number, 20*time.Second)
				t.Logf("in force everywhere after %v", took)
				is.True(took <= inForceToday)
			})
		})
	}
}

func TestAPatchSpreadsThoughAQuarterOfAllMessagesIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 18, 3)
		defer f.stop()
		time.Sleep(settle)
		for _, p := range f.all() {
			p.link.SetCut(p != f.at(3))
		}
		f.net.loseQuarter()
		took := f.spreadTime(f.patch(3), time.Minute)
		t.Logf("in force everywhere after %v", took)
		is.True(took <= inForceTwoRegions)
	})
}

func TestAPatchFromOutsideIsFoundByWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 18, 3)
		defer f.stop()
		time.Sleep(settle)
		outside := configstore.NewEditor(f.memory, configstore.NewStore())
		_, err := outside.Patch(t.Context(), 1, []byte(`{}`))
		is.NoErr(err)
		is.True(f.spreadTime(2, 20*time.Second) <= inForceToday)

		f.memory.SetFaults(platform.Faults{SilentWatches: true})
		_, err = outside.Patch(t.Context(), 2, []byte(`{}`))
		is.NoErr(err)
		took := f.spreadTime(3, 60*time.Second) // the renewal bounds it
		t.Logf("with silent watches after %v", took)
		is.True(took <= WatchTimeout+watchGrace+inForceToday)
	})
}

// callsBound is the stated bound of platform calls a second for three zones,
// whatever the number of processes: two watchers a zone renew a watch every 10 s
// and read the host list every 7.5 s at the soonest, and the fleet polls once in
// 2 s on average, for which twice the average is allowed.
const (
	zones      = 3
	callsBound = 2*zones/10.0 + 2*zones/7.5 + 1
)

func TestASilentWatchIsGivenUp(t *testing.T) {
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

// TestAnIsolatedProcessWatchesForItself cuts a process off from all peers but
// not from the platform, in a zone too large to find that out one by one.
func TestAnIsolatedProcessWatchesForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 150, 1)
		defer f.stop()
		time.Sleep(settle)
		f.net.setCut("p77", true)
		time.Sleep(settle)
		is.True(f.spreadTime(f.patch(0), 20*time.Second) <= inForceToday)
	})
}

func TestASilentPeerDoesNotHoldUpAFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1)
		defer f.stop()
		time.Sleep(settle)
		for _, addr := range []string{"p1", "p2", "p3"} {
			f.net.setCut(addr, true)
			f.at(int(addr[1] - '0')).link.SetCut(true)
		}
		number := f.patch(0)
		time.Sleep(settle)
		f.net.setCut("p1", false)
		f.at(1).note(number, "p2")
		f.at(1).note(number, "p3")
		f.at(1).note(number, "p0")
		time.Sleep(FetchTimeout / 2)
		is.Equal(f.at(1).Store.Number(), number)
	})
}

func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, processes := range []int{10, 100, 500} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const seconds = 60
				f := newFleet(t, processes, zones)
				defer f.stop()
				time.Sleep(settle)
				starting := f.memory.Calls().Total()
				time.Sleep(seconds * time.Second)
				rate := float64(f.memory.Calls().Total()-starting) / seconds
				t.Logf("%d processes: %d calls in the first %v, then %.2f calls/s; bound %.2f", processes, starting, settle, rate, callsBound)
				is.True(rate <= callsBound)
				// One call a process to start, and no crowd of watchers meanwhile.
				is.True(float64(starting) <= float64(2*processes)+callsBound*settle.Seconds())

				f.memory.SetFaults(platform.Faults{Down: true})
				down := f.memory.Calls().Total()
				time.Sleep(seconds * time.Second)
				rate = float64(f.memory.Calls().Total()-down) / seconds
				t.Logf("%d processes: %.2f calls/s while down", processes, rate)
				is.True(rate <= callsBound+zones*2) // watchers try again every second at most
			})
		})
	}
}

func TestDesignSizeInTwoRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const processes, zones, bytesPerSecond = 970, 8, 4096
		f := newFleet(t, processes, zones)
		defer f.stop()
		time.Sleep(settle)
		t.Logf("starting took %d bytes a process", f.net.bytes.Load()/processes)
		before, begun := f.net.bytes.Load(), time.Now()
		f.at(5).link.SetCut(true)
		var slowest time.Duration
		for i := range 3 {
			slowest = max(slowest, f.spreadTime(f.patch(i*100), 20*time.Second))
			time.Sleep(10 * time.Second) // seven times as often as 1,200 a day
		}
		// Each byte is sent by one process and received by another.
		rate := 2 * float64(f.net.bytes.Load()-before) / processes / time.Since(begun).Seconds()
		t.Logf("in force everywhere after %v at the slowest; %.0f bytes a second sent and received a process", slowest, rate)
		is.True(slowest <= inForceTwoRegions)
		is.True(rate <= bytesPerSecond)
	})
}

func TestASpoiledDeltaFallsBackToTheWholeDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 3)
		defer f.stop()
		time.Sleep(settle)
		for _, p := range f.all() {
			p.link.SetCut(p != f.at(0))
		}
		f.net.setSpoil(func(resp *zinniaquayv1.FetchConfigurationResponse) {
			if len(resp.GetPatches()) > 0 {
				resp.Patches = [][]byte{[]byte(`{"zones":{"stale":{}}}`)}
			}
		})
		number := f.patch(0)
		is.True(f.spreadTime(number, 20*time.Second) <= inForceToday)
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
		time.Sleep(settle)
		f.net.setCut("p1", true) // no push reaches it
		f.at(1).link.SetCut(true)
		number := f.patch(0)
		time.Sleep(settle)
		is.Equal(f.at(1).Store.Number(), number-1)

		begun := time.Now()
		err := f.at(1).EnsureAtLeast(t.Context(), number, "p0")
		is.Equal(errkind.Of(err), errkind.NoConfiguration)
		is.True(time.Since(begun) <= 2*FetchTimeout) // a silent peer is given up
		f.net.setCut("p1", false)
		is.NoErr(f.at(1).EnsureAtLeast(t.Context(), number, "p0"))
		is.Equal(f.at(1).Store.Number(), number)
		err = f.at(1).EnsureAtLeast(t.Context(), number+1, "p0")
		is.True(errors.Is(err, configstore.ErrNothingNewer))
	})
}
