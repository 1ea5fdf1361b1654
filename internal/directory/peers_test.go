package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// quietPeers has some members silent.
type quietPeers struct {
	fleet
	silent map[string]bool
}

func (p *quietPeers) Silent(name string) bool { return p.silent[name] }

func TestChooseReturnsTheFirstOfTheZoneThatResponds(t *testing.T) {
	members := func(zones map[string]int) *catalog.View {
		v := emptyView()
		for zone, size := range zones {
			for i := range size {
				name := fmt.Sprintf("%s-%d", zone, i)
				v.Members[name] = catalog.Member{Name: name, Zone: zone}
			}
		}
		return v
	}
	for _, c := range []struct {
		name              string
		zones             map[string]int
		self, want        string
		silent, suspended []string
	}{
		{name: "a large zone has its own watch", zones: map[string]int{"a": 6, "b": 6}, self: "b-3", want: "b-0"},
		{name: "the first one watches", zones: map[string]int{"a": 6, "b": 6}, self: "b-0"},
		{name: "small zones share a watch", zones: map[string]int{"a": 2, "b": 2}, self: "b-1", want: "a-0"},
		{name: "two watch alone", zones: map[string]int{"a": 1, "b": 1}, self: "b-0"},
		{name: "silent ones are passed over", zones: map[string]int{"a": 7}, self: "a-6", silent: []string{"a-0", "a-1"}, want: "a-2"},
		{name: "those that failed are passed over", zones: map[string]int{"a": 6}, self: "a-5", suspended: []string{"a-0"}, want: "a-1"},
		{name: "all before it failed", zones: map[string]int{"a": 6}, self: "a-2", suspended: []string{"a-0", "a-1"}},
		{name: "what is silent makes a zone small", zones: map[string]int{"a": 5, "b": 5}, self: "b-4", silent: []string{"b-0"}, want: "a-0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, peers := is.New(t), &quietPeers{silent: make(map[string]bool)}
			for _, name := range c.silent {
				peers.silent[name] = true
			}
			view := members(c.zones)
			w := newWatchers(view.Members[c.self], peers, metrics.NewRegistry())
			for _, name := range c.suspended {
				w.suspend(name)
			}
			got, found := w.choose(view)
			is.Equal(got.Name, c.want)
			is.Equal(found, c.want != "")
		})
	}
}

func TestProcessesThatFailedAreAskedAgainLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, view := is.New(t), emptyView()
		for i := range 4 {
			name := fmt.Sprint(i)
			view.Members[name] = catalog.Member{Name: name, Zone: "a"}
		}
		w := newWatchers(view.Members["1"], &quietPeers{}, metrics.NewRegistry())
		w.suspend("0")
		_, found := w.choose(view)
		is.True(!found)
		time.Sleep(suspension + time.Millisecond)
		_, found = w.choose(view)
		is.True(found)
	})
}

func TestHistoryHoldsTheLatestChangesWithinItsBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		items int
		bytes int
		age   time.Duration
		held  int
	}{
		{"few", 10, 100, 0, 10},
		{"many", maxHistoryItems + 10, 1, 0, maxHistoryItems},
		{"large", 10, maxHistoryBytes / 4, 0, 3},
		{"old", 10, 100, historyAge + time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, h := is.New(t), history{}
			h.reset(platform.Position{Era: 1, Revision: 100})
			for i := range c.items {
				h.add([]platform.Item{{Key: "key", Value: make([]byte, c.bytes), Revision: int64(101 + i)}}, now)
			}
			h.trim(now.Add(c.age))
			oldest := int64(100 + c.items - c.held)
			items, complete := h.after(platform.Position{Era: 1, Revision: oldest})
			is.True(complete)
			is.Equal(len(items), c.held)
			_, complete = h.after(platform.Position{Era: 1, Revision: oldest - 1})
			is.True(!complete) // a gap is not taken for no change
			_, complete = h.after(platform.Position{Era: 2, Revision: oldest})
			is.True(!complete)
		})
	}
}
