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

// TestMain fixes the seed of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// isolateAndPatch cuts process i off and commits a patch at another process, so
// that i misses it. It returns the new number.
func (f *fleet) isolateAndPatch(i int) uint64 {
	f.net.setCut(f.at(i).addr(), true)
	f.at(i).link.SetCut(true)
	number := f.patch((i + 1) % 3)
	time.Sleep(settleTime)
	return number
}

func TestStartDuringOutageUsesHighestNumberOfSeveralPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 3)
		defer f.stop()
		time.Sleep(settleTime)
		number := f.isolateAndPatch(2)
		f.memory.SetFaults(platform.Faults{Down: true})
		f.kill(4)
		f.seeds = []string{"p2", "p0", "p1"}
		f.net.setCut("p2", false)
		started := f.start(4)
		<-started.Started()
		is.Equal(started.Store.Number(), number)
	})
}

func TestProcessNeverStartsFromSinglePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1)
		defer f.stop()
		time.Sleep(settleTime)
		number := f.isolateAndPatch(2)
		f.memory.SetFaults(platform.Faults{Down: true})
		f.kill(3)
		for _, other := range []string{"p0", "p1"} {
			f.net.setCut(other, true)
		}
		f.net.setCut("p2", false)
		started := f.start(3)
		time.Sleep(10 * settleTime)
		is.Equal(started.Store.Number(), uint64(0)) // it waits and does not start from p2 alone
		is.Equal(errkind.Of(started.EnsureAtLeast(t.Context(), 1, "p2")), errkind.NoConfiguration)
		f.net.setCut("p0", false)
		<-started.Started()
		is.Equal(started.Store.Number(), number)
	})
}

func TestProcessStartsOncePlatformRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, 1)
		f.memory.SetFaults(platform.Faults{Down: true})
		f.seeds = nil
		alone := f.start(0)
		defer f.stop()
		time.Sleep(settleTime)
		is.Equal(alone.Store.Number(), uint64(0))
		f.memory.SetFaults(platform.Faults{})
		begun := time.Now()
		<-alone.Started()
		is.True(time.Since(begun) <= maxRetry)
		is.Equal(alone.Store.Number(), uint64(1))
	})
}

// TestConfigurationNumbersNeverDecreaseAcrossRestarts restarts processes without
// state, during and outside outages of the platform, while one process lags
// because it is cut off at times.
func TestConfigurationNumbersNeverDecreaseAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) { // the struct hides T.Deadline, which a synctest bubble does not have
			const processes = 5
			f := newFleet(t, processes, 2)
			defer f.stop()
			time.Sleep(settleTime)
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
					f.net.setCut(f.at(lagging).addr(), false) // reachable by peers, though possibly not connected to the platform
				}
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					f.checkMonotonic(rt, highest)
				}
			}
		})
	})
}

func (f *fleet) checkMonotonic(t *rapid.T, highest []uint64) {
	for i := range highest {
		number := f.at(i).Store.Number()
		if number > 0 && number < highest[i] {
			t.Fatalf("process %d has configuration %d, but had %d before", i, number, highest[i])
		}
		highest[i] = max(highest[i], number)
	}
}

// maxMembershipDelay is the time within which the join or leave of a process is
// known to all processes.
const maxMembershipDelay = 5 * time.Second

func TestAllProcessesSeeJoinLeaveAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(settleTime)
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
		f.memory.SetFaults(platform.Faults{HostListLag: time.Hour}) // the host list never shows the change
		f.start(12)
		time.Sleep(maxMembershipDelay)
		is.True(everywhere(13))
		f.at(5).Announce(t.Context(), zinniaquayv1.Member_leaving)
		time.Sleep(maxMembershipDelay)
		is.True(everywhere(12))
		f.kill(5)
		f.start(5) // a new incarnation is live again
		time.Sleep(maxMembershipDelay)
		is.True(everywhere(13))

		f.memory.SetFaults(platform.Faults{})
		f.kill(7)
		f.memory.RemoveHost("p7")
		f.memory.RemoveHost("p8") // it still runs, and responds to the check before removal
		time.Sleep(3 * time.Minute)
		is.True(everywhere(12))
		is.Equal(f.at(8).Members.Self().GetRenewal(), uint32(0)) // no process marked it gone
	})
}
