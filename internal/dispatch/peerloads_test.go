package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reportedLoads has peers from first to last report the same load on each of a number of
// targets, in turn from the first.
func reportedLoads(d *Dispatcher, first, last, targets int, load Load, now time.Time) {
	for i := first; i < last; i++ {
		loads := make(map[uint32]Load)
		for j := range targets {
			loads[d.services[testService][(i+j)%len(d.services[testService])].shortID] = load
		}
		d.Merge(fmt.Sprintf("edge-%d", i), Report{Loads: loads}, now)
	}
}

// totalPeerLoad returns the estimated load of all peers on all targets.
func totalPeerLoad(d *Dispatcher, now time.Time) Load {
	d.peerLoads.averagedAt = time.Time{}
	d.averageLoads(now)
	var sum Load
	for _, t := range d.targets {
		_, load := d.peerLoad(t, now)
		sum = sum.plus(load)
	}
	return sum
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }

// Guards against peers that count as idle since their reports are rare: in a fleet of 103 routers
// that sends five reports a second, a pair exchanges one every 20 s.
func TestPeersCountWhetherOrNotTheyReportedLately(t *testing.T) {
	for _, c := range []struct {
		name             string
		routers, targets int
		heard            int
		age              time.Duration
	}{
		{"all just now", 31, 48, 30, 0},
		{"all 4 s ago", 31, 48, 30, 4 * time.Second},
		{"a quarter just now", 103, 160, 25, 0},
		{"a quarter 4 s ago", 103, 160, 25, 4 * time.Second},
		{"one", 103, 160, 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, now := is.New(t), time.Unix(1000, 0)
			d := testDispatcher("edge-0", testView(c.targets, c.routers))
			reportedLoads(d, 1, 1+c.heard, 10, Load{Running: 2, Backlog: 640, Memory: 2048}, now)
			got := totalPeerLoad(d, now.Add(c.age))
			peers := float64(c.routers - 1)
			is.True(near(got.Running, 20*peers))
			is.True(near(got.Backlog, 6400*peers))
			is.True(near(got.Memory, 20480*peers))
		})
	}
}

// Guards against reports that stay true for one target long after, or are dropped with what they
// say of the fleet.
func TestWhatIsKnownOfATargetDecaysToTheAverage(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(4, 2))
	busy := d.services[testService][0]
	d.Merge("edge-1", Report{Loads: map[uint32]Load{busy.shortID: {Running: 40, Backlog: 40_000}}}, now)
	at := func(age time.Duration) Load {
		d.peerLoads.averagedAt = time.Time{}
		d.averageLoads(now.Add(age))
		_, load := d.peerLoad(busy, now.Add(age))
		return load
	}
	is.True(near(at(0).Running, 40) && near(at(0).Backlog, 40_000))
	is.True(at(time.Second).Running > 20 && at(time.Second).Backlog < 12_000)
	is.True(at(4*time.Second).Running < 15 && near(math.Round(at(4*time.Second).Backlog), 10_000))
}

// Guards against loads of routers that are gone, and of routers that are taken for gone since
// the fleet is large.
func TestPeersAreSilentByTheUsualIntervalBetweenReports(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(4, 3))
	const usual = 12 * time.Second
	for i := range 200 {
		now = now.Add(usual)
		d.ExpirePeers(now)
		reportedLoads(d, 1, 3, 1, Load{Running: 5}, now)
		is.True(near(totalPeerLoad(d, now).Running, 10))
		is.True(i == 0 || d.peerLoads.timeout() > usual && d.peerLoads.timeout() < 2*usual)
	}
	gone := now.Add(2 * usual)
	reportedLoads(d, 1, 2, 1, Load{Running: 5}, now.Add(usual)) // the other one is silent
	d.ExpirePeers(gone)
	is.True(near(totalPeerLoad(d, gone).Running, 5))
	is.Equal(len(d.peerLoads.silent), 1)
	d.ExpirePeers(now.Add(silentMemory + time.Second))
	is.Equal(len(d.peerLoads.silent), 1) // the first one now; the other is forgotten
}

// Guards against sums that drift from what they sum as reports come, go and change.
func TestSumsOfPeerLoadsAreThoseOfTheLatestReports(t *testing.T) {
	is, now, rng := is.New(t), time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	d := testDispatcher("edge-0", testView(8, 20))
	for range 3000 {
		now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
		loads := make(map[uint32]Load)
		for _, target := range d.services[testService] {
			if rng.IntN(2) == 0 {
				loads[target.shortID] = Load{float64(rng.IntN(30)), float64(rng.IntN(1000) * 32), float64(rng.IntN(1000) * 1024)}
			}
		}
		d.Merge(fmt.Sprintf("edge-%d", 1+rng.IntN(19)), Report{Loads: loads}, now)
		d.ExpirePeers(now)
	}
	for _, target := range d.targets {
		var want Load
		for _, p := range d.peerLoads.peers {
			want = want.plus(p.loads[target.shortID].decayed(now.Sub(p.lastReport)))
		}
		got := target.peerLoad.value(now)
		is.True(near(got.Running, want.Running) && near(got.Backlog, want.Backlog) && near(got.Memory, want.Memory))
	}
}
