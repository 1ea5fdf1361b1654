package peer

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// TestMain fixes the seed of the property tests, so that runs are alike.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// lag makes process i miss a patch: it is cut off while the others take it.
func (f *fleet) lag(i int) uint64 {
	f.net.setCut(f.at(i).addr(), true)
	f.at(i).link.SetCut(true)
	number := f.patch((i + 1) % 3)
	time.Sleep(settle)
	return number
}

func TestAProcessThatStartsInAnOutageTakesTheHighestOfSeveralPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 3)
		defer f.stop()
		time.Sleep(settle)
		number := f.lag(2)
		f.memory.SetFaults(platform.Faults{Down: true})
		f.kill(4)
		f.seeds = []string{"p2", "p0", "p1"}
		f.net.setCut("p2", false)
		started := f.start(4)
		<-started.Started()
		is.Equal(started.Store.Number(), number)
	})
}

func TestAProcessNeverStartsOnOnePeersWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1)
		defer f.stop()
		time.Sleep(settle)
		number := f.lag(2)
		f.memory.SetFaults(platform.Faults{Down: true})
		f.kill(3)
		for _, other := range []string{"p0", "p1"} {
			f.net.setCut(other, true)
		}
		f.net.setCut("p2", false)
		started := f.start(3)
		time.Sleep(10 * settle)
		is.Equal(started.Store.Number(), uint64(0)) // it waits rather than believe p2
		is.Equal(errkind.Of(started.EnsureAtLeast(t.Context(), 1, "p2")), errkind.NoConfiguration)
		f.net.setCut("p0", false)
		<-started.Started()
		is.Equal(started.Store.Number(), number)
	})
}

func TestAProcessStartsOnceThePlatformReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, 1)
		f.memory.SetFaults(platform.Faults{Down: true})
		f.seeds = nil
		alone := f.start(0)
		defer f.stop()
		time.Sleep(settle)
		is.Equal(alone.Store.Number(), uint64(0))
		f.memory.SetFaults(platform.Faults{})
		begun := time.Now()
		<-alone.Started()
		is.True(time.Since(begun) <= maxRetry)
		is.Equal(alone.Store.Number(), uint64(1))
	})
}

// TestNumbersNeverFallAcrossRestarts restarts processes with an empty memory, in
// and out of outages, beside one process that was cut off and lags.
func TestNumbersNeverFallAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) { // a bubble has no deadline
			const processes = 5
			f := newFleet(t, processes, 2)
			defer f.stop()
			time.Sleep(settle)
			highest := make([]uint64, processes)
			lagging := rapid.IntRange(0, processes-1).Draw(rt, "lagging")
			down := false
			for range rapid.IntRange(5, 25).Draw(rt, "steps") {
				i := rapid.IntRange(0, processes-1).Draw(rt, "process")
				switch rapid.IntRange(0, 4).Draw(rt, "step") {
				case 0:
					if !down && i != lagging && f.at(i).isStarted() {
						f.patch(i)
					}
				case 1:
					down = !down
					f.memory.SetFaults(platform.Faults{Down: down})
				case 2:
					f.kill(i)
					f.start(i)
				case 3:
					cut := rapid.Bool().Draw(rt, "cut")
					f.net.setCut(f.at(lagging).addr(), cut)
					f.at(lagging).link.SetCut(cut)
				case 4:
					f.net.setCut(f.at(lagging).addr(), false) // heard, though without the platform
				}
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					f.checkRising(rt, highest)
				}
			}
		})
	})
}

func (f *fleet) checkRising(t *rapid.T, highest []uint64) {
	for i := range highest {
		number := f.at(i).Store.Number()
		if number > 0 && number < highest[i] {
			t.Fatalf("process %d is at %d after %d", i, number, highest[i])
		}
		highest[i] = max(highest[i], number)
	}
}

// knownWithin is the time in which a notice of joining or leaving is known
// everywhere.
const knownWithin = 5 * time.Second

func TestJoiningLeavingAndCrashingAreKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(settle)
		live := func() (counts []int) {
			for _, p := range f.all() {
				counts = append(counts, len(p.Members.Live(zinniaquayv1.Member_router)))
			}
			return counts
		}
		everywhere := func(want int) bool {
			for _, count := range live() {
				if count != want {
					return false
				}
			}
			return true
		}
		is.True(everywhere(12))
		f.memory.SetFaults(platform.Faults{HostListLag: time.Hour}) // the list never helps
		f.start(12)
		time.Sleep(knownWithin)
		is.True(everywhere(13))
		f.at(5).Announce(t.Context(), zinniaquayv1.Member_leaving)
		time.Sleep(knownWithin)
		is.True(everywhere(12))
		f.kill(5)
		f.start(5) // a new incarnation is live again
		time.Sleep(knownWithin)
		is.True(everywhere(13))

		f.memory.SetFaults(platform.Faults{})
		f.kill(7)
		f.memory.RemoveHost("p7")
		f.memory.RemoveHost("p8") // it runs all the same, and is asked
		time.Sleep(3 * time.Minute)
		is.True(everywhere(12))
		is.Equal(f.at(8).Members.Self().GetRenewal(), uint32(0)) // nobody called it gone
	})
}
