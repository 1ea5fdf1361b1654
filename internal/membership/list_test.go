package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
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

var testTime = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

func newRouter(name, zone string, incarnation uint64) *zinniaquayv1.Member {
	return &zinniaquayv1.Member{
		Name: name, Zone: zone, Incarnation: incarnation, Role: zinniaquayv1.Member_router, Addr: "127.0.0.1:" + name,
	}
}

func withState(m *zinniaquayv1.Member, state zinniaquayv1.Member_State) *zinniaquayv1.Member {
	m.State = state
	return m
}

func TestMergingIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		drawn := rapid.SliceOf(rapid.Custom(func(t *rapid.T) *zinniaquayv1.Member {
			m := newRouter(fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "name")), "z", rapid.Uint64Range(0, 2).Draw(t, "incarnation"))
			m.Renewal = rapid.Uint32Range(0, 2).Draw(t, "renewal")
			m.Addr = rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2"}).Draw(t, "addr")
			return withState(m, zinniaquayv1.Member_State(rapid.IntRange(0, 2).Draw(t, "state")))
		})).Draw(t, "members")
		one, other := NewList(newRouter("self", "z", 1)), NewList(newRouter("self", "z", 1))
		for _, m := range drawn {
			one.Merge([]*zinniaquayv1.Member{m})
		}
		shuffled := rapid.Permutation(drawn).Draw(t, "shuffled")
		other.Merge(shuffled)
		is.Equal(len(other.Merge(shuffled)), 0) // merging again changes nothing
		is.Equal(one.Digest(), other.Digest())
		is.Equal(fmt.Sprint(one.All()), fmt.Sprint(other.All()))
	})
}

func TestLeavingRecordOverridesLiveRecordOfTheSameIncarnation(t *testing.T) {
	is := is.New(t)
	leaving := withState(newRouter("1", "z", 1), zinniaquayv1.Member_leaving)
	live := &zinniaquayv1.Member{Name: "1", Zone: "zz", Incarnation: 1, Role: zinniaquayv1.Member_sidecar, Addr: "127.0.0.1:999", Target: "t"}
	is.True(compare(newRecord(leaving), newRecord(live)) > 0)
	live.Incarnation = 2
	is.True(compare(newRecord(leaving), newRecord(live)) < 0) // the process was restarted
}

func TestRecordFromProcessOverridesLaggingHostList(t *testing.T) {
	is := is.New(t)
	l := NewList(newRouter("r1", "z", 1))
	hosts := []platform.Host{{Name: "r1", Role: "router"}, {Name: "s1", Role: "sidecar", Addr: "127.0.0.1:5"}, {Name: "x", Role: "database"}}
	updates, _ := l.MergeHosts(hosts, testTime)
	is.Equal(len(updates), 1)
	is.Equal(len(l.Live(zinniaquayv1.Member_sidecar)), 1)

	leaving := withState(&zinniaquayv1.Member{Name: "s1", Incarnation: 5, Role: zinniaquayv1.Member_sidecar}, zinniaquayv1.Member_leaving)
	l.Merge([]*zinniaquayv1.Member{leaving})
	updates, _ = l.MergeHosts(hosts, testTime)
	is.Equal(len(updates), 0)
	is.Equal(len(l.Live(zinniaquayv1.Member_sidecar)), 0)
}

func TestRunningMemberRefutesThatItIsGone(t *testing.T) {
	is := is.New(t)
	watcher, member := NewList(newRouter("r1", "z", 1)), NewList(newRouter("r2", "z", 7))
	watcher.Merge(member.All())
	gone := watcher.MarkGone(member.Self())
	is.Equal(len(watcher.Live(zinniaquayv1.Member_router)), 1)

	updates := member.Merge(gone)
	is.Equal(len(updates), 1)
	is.Equal(updates[0].GetIncarnation(), uint64(7)) // the incarnation does not change
	watcher.Merge(updates)
	is.Equal(len(watcher.Live(zinniaquayv1.Member_router)), 2)
	is.Equal(len(member.Merge(gone)), 0) // an outdated report changes nothing
}

func TestMembersAreAbsentOnlyAfterMinAbsence(t *testing.T) {
	is := is.New(t)
	l := NewList(newRouter("r1", "z", 1))
	l.Merge([]*zinniaquayv1.Member{newRouter("r2", "z", 1)})
	_, absent := l.MergeHosts(nil, testTime)
	is.Equal(len(absent), 0)
	_, absent = l.MergeHosts(nil, testTime.Add(2*MinAbsence))
	is.Equal(len(absent), 0) // a list without this process is ignored
	hosts := []platform.Host{{Name: "r1", Role: "router"}}
	_, absent = l.MergeHosts(hosts, testTime)
	is.Equal(len(absent), 0)
	_, absent = l.MergeHosts(hosts, testTime.Add(MinAbsence-1))
	is.Equal(len(absent), 0)
	_, absent = l.MergeHosts(hosts, testTime.Add(MinAbsence))
	is.Equal(len(absent), 1)
}

func TestWatchersAreLimitedPerZoneAndReplaced(t *testing.T) {
	is := is.New(t)
	const processes, zones = 100, 4
	var all []*zinniaquayv1.Member
	for i := range processes {
		all = append(all, newRouter(fmt.Sprint("p", i), fmt.Sprint("z", i%zones), 1))
	}
	lists := make([]*List, processes)
	for i, self := range all {
		lists[i] = NewList(self)
		lists[i].Merge(all)
	}
	watchers := func(now time.Time) (names []string) {
		for _, l := range lists {
			if l.IsWatcher(now) {
				names = append(names, l.Self().GetName())
			}
		}
		return names
	}
	first := watchers(testTime)
	is.Equal(len(first), zones*WatchersPerZone)
	for _, l := range lists {
		l.SetReachable(first[0], false, testTime)
	}
	is.Equal(len(watchers(testTime)), zones*WatchersPerZone+1) // the unreachable watcher and its successor
	is.Equal(watchers(testTime.Add(UnreachableDuration)), first)
	is.Equal(lists[0].Zones(), zones)
	is.Equal(lists[0].Size(), processes)
}

func TestSizeCountsTheProcessAfterItIsGone(t *testing.T) {
	is := is.New(t)
	l := NewList(newRouter("r1", "z", 1))
	l.SetSelf(zinniaquayv1.Member_gone)
	is.Equal(l.Size(), 1)
}

func TestNeighboursConnectTheFleet(t *testing.T) {
	is := is.New(t)
	var all []*zinniaquayv1.Member
	for i := range 50 {
		all = append(all, newRouter(fmt.Sprint("p", i), "z", 1))
	}
	next := make(map[string][]string)
	for _, self := range all {
		l := NewList(self)
		l.Merge(all)
		for _, m := range l.Neighbours(3, testTime) {
			next[self.GetName()] = append(next[self.GetName()], m.GetName())
		}
		is.Equal(len(next[self.GetName()]), 3)
	}
	seen := map[string]bool{"p0": true}
	for queue := []string{"p0"}; len(queue) > 0; queue = queue[1:] {
		for _, name := range next[queue[0]] {
			if !seen[name] {
				seen[name] = true
				queue = append(queue, name)
			}
		}
	}
	is.Equal(len(seen), len(all))
}

func TestGoneMembersAreBounded(t *testing.T) {
	is := is.New(t)
	l, reversed := NewList(newRouter("r", "z", 1)), NewList(newRouter("r", "z", 1))
	var all []*zinniaquayv1.Member
	for i := range MaxGoneMembers + 20 {
		all = append(all, withState(newRouter(fmt.Sprint("p", i), "z", uint64(i+1)), zinniaquayv1.Member_gone))
	}
	l.Merge(all)
	for i := len(all) - 1; i >= 0; i-- {
		reversed.Merge(all[i : i+1])
	}
	is.Equal(len(l.All()), MaxGoneMembers+1)
	is.Equal(l.Digest(), reversed.Digest())
	_, oldest := l.Get("p0")
	is.True(!oldest)
	is.Equal(len(l.Merge(all[:1])), 0) // a record that is evicted at once is not returned
}

func TestSizeCountsTheProcessWhenAllAreGone(t *testing.T) {
	is := is.New(t)
	l := NewList(&zinniaquayv1.Member{Name: "a"})
	l.Merge([]*zinniaquayv1.Member{{Name: "b", State: zinniaquayv1.Member_gone}})
	l.SetSelf(zinniaquayv1.Member_gone)
	is.Equal(l.Size(), 1)
}
