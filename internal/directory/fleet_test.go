package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// memberDecoder decodes members too; the value of an entry is the member's zone.
type memberDecoder struct{ testDecoder }

func (d memberDecoder) Decode(view *catalog.View, item platform.Item, now time.Time) error {
	name, isMember := strings.CutPrefix(item.Key, "members/")
	switch {
	case !isMember:
		return d.testDecoder.Decode(view, item, now)
	case item.Deleted:
		delete(view.Members, name)
	default:
		view.Members[name] = catalog.Member{Name: name, Zone: string(item.Value), Revision: item.Revision}
	}
	return nil
}

func (memberDecoder) EncodeMember(m catalog.Member) ([]byte, error) { return []byte(m.Zone), nil }

// countingStore counts calls, accepts writes and wakes its watches without polling.
type countingStore struct {
	*faultyStore
	calls   int
	changed chan struct{}
}

func newCountingStore() *countingStore {
	return &countingStore{faultyStore: &faultyStore{items: make(map[string]platform.Item)}, changed: make(chan struct{})}
}

func (s *countingStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// value returns the value of an item; empty if there is none.
func (s *countingStore) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// write writes an item and wakes the watches.
func (s *countingStore) write(key, value string) {
	s.put(key, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *countingStore) Range(ctx context.Context, prefix, after string) ([]platform.Item, platform.Position, error) {
	s.count()
	return s.faultyStore.Range(ctx, prefix, after)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after platform.Position, wait time.Duration) (platform.Change, error) {
	s.count()
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		change, err := s.faultyStore.Watch(ctx, prefix, after, 0)
		if err != nil || len(change.Items) > 0 {
			return change, err
		}
		select {
		case <-changed:
		case <-deadline:
			return change, nil
		case <-ctx.Done():
			return change, ctx.Err()
		}
	}
}

func (s *countingStore) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write, _ []string) (platform.Position, error) {
	s.count()
	if err := sleep(ctx, roundTrip, nil); err != nil {
		return platform.Position{}, err
	}
	s.mu.Lock()
	for _, c := range conditions {
		if s.items[c.Key].Revision != c.Revision {
			s.mu.Unlock()
			return platform.Position{}, platform.ErrConflict
		}
	}
	s.mu.Unlock()
	for _, w := range writes {
		s.write(w.Key, string(w.Value))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Position{Era: s.era, Revision: s.revision}, nil
}

// fleet is a group of directories that call each other, with injected faults.
type fleet struct {
	mu sync.Mutex
	// directories holds those that run, by name.
	directories map[string]*Directory
	// fault delays or fails a call between two processes; nil for none.
	fault func(ctx context.Context) error
}

// Silent implements Peers.
func (f *fleet) Silent(string) bool { return false }

// Changes implements Peers.
func (f *fleet) Changes(ctx context.Context, m catalog.Member, after platform.Position, wait time.Duration) (PeerChange, error) {
	f.mu.Lock()
	d, fault := f.directories[m.Name], f.fault
	f.mu.Unlock()
	if d == nil {
		return PeerChange{}, platform.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, wait+maxWatchLag)
	defer cancel()
	for range 2 { // the call, and its response
		if fault == nil {
			continue
		}
		if err := fault(ctx); err != nil {
			return PeerChange{}, err
		}
	}
	if err := sleep(ctx, roundTrip, nil); err != nil {
		return PeerChange{}, err
	}
	change, err := d.Changes(ctx, after, wait)
	if err == nil && fault != nil {
		err = fault(ctx)
	}
	return change, err
}

// start starts a directory until the context ends.
func (f *fleet) start(ctx context.Context, group *sync.WaitGroup, store platform.Store, self catalog.Member, applyDelay time.Duration) *Directory {
	started := time.Now()
	return f.startWith(ctx, group, store, self, applyDelay, func() time.Duration { return time.Since(started) + time.Nanosecond })
}

func (f *fleet) startWith(ctx context.Context, group *sync.WaitGroup, store platform.Store, self catalog.Member, applyDelay time.Duration,
	sinceBoot func() time.Duration) *Directory {
	d := New(store, memberDecoder{}, Options{Self: self, MaxApplyDelay: applyDelay, Peers: f, OnChange: func(*catalog.View) {}},
		metrics.NewRegistry(), logr.Discard())
	d.sinceBoot = sinceBoot
	f.mu.Lock()
	f.directories[self.Name] = d
	f.mu.Unlock()
	for _, task := range []func(context.Context){d.Follow, d.Check} {
		group.Go(func() { task(ctx) })
	}
	group.Go(func() { d.Register(ctx, self) })
	return d
}

// Guards against calls to the store that grow with the square of the fleet: each process
// and each target writes an entry at the start, and each change wakes every watch.
func TestStoreCallsGrowAtMostWithTheFleet(t *testing.T) {
	const (
		day = 45 * time.Second
		// maxCalls is the number of calls per process in maxCallsTime, the start included, where
		// a configuration must be in force within maxCallsDelay. Half of that time takes twice
		// as many checks.
		maxCalls, maxCallsTime, maxCallsDelay = 3.0, 10 * time.Second, 4 * time.Second
	)
	for _, zones := range []int{3, 5} {
		for _, size := range []int{10, 30, 100, 300} {
			for _, applyDelay := range []time.Duration{2 * time.Second, 4 * time.Second} {
				t.Run(fmt.Sprintf("%d processes in %d zones, in force within %s", size, zones, applyDelay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						calls := playCalmDay(t, size, zones, applyDelay, day)
						rate := float64(calls) / float64(size) * float64(maxCallsTime) / float64(day)
						t.Logf("%d calls, %.2f for each process in %s", calls, rate, maxCallsTime)
						if bound := maxCalls * float64(maxCallsDelay) / float64(applyDelay); rate >= bound {
							t.Errorf("%.2f calls for each process in %s, want less than %.0f", rate, maxCallsTime, bound)
						}
					})
				})
			}
		}
	}
}

// playCalmDay starts a fleet beside its targets, then changes the configuration every ten
// seconds, and returns the number of calls to the store.
func playCalmDay(t *testing.T, size, zones int, applyDelay, day time.Duration) int {
	rng := rand.New(rand.NewPCG(uint64(size), uint64(zones)))
	store := newCountingStore()
	store.put("op/config", "1")
	f := &fleet{directories: make(map[string]*Directory)}
	ctx, cancel := context.WithTimeout(t.Context(), day)
	defer cancel()
	var group sync.WaitGroup
	for i := range size {
		delay := time.Duration(rng.IntN(300)) * time.Millisecond
		group.Go(func() {
			if wait.For(ctx, delay) {
				f.start(ctx, &group, store, catalog.Member{Name: fmt.Sprintf("edge-%03d", i), Zone: fmt.Sprint(i % zones)}, applyDelay)
			}
		})
	}
	for i := range size * 8 / 5 {
		delay := time.Duration(rng.IntN(3000)) * time.Millisecond
		group.Go(func() {
			if wait.For(ctx, delay) {
				store.write(fmt.Sprintf("servers/%d", i), "ready")
			}
		})
	}
	group.Go(func() {
		for version := 2; wait.For(ctx, 10*time.Second); version++ {
			store.write("op/config", fmt.Sprint(version))
		}
	})
	group.Wait()
	for name, d := range f.directories {
		if len(d.View().Members) != size || len(d.View().Targets) != size*8/5 || configVersion(d.View()) < 4 {
			t.Errorf("%s knows %d members, %d targets, configuration %d", name, len(d.View().Members), len(d.View().Targets),
				configVersion(d.View()))
		}
	}
	return store.calls
}

// link is one process's access to a store, which may be cut.
type link struct {
	platform.Store
	cut atomic.Bool
}

func (l *link) Range(ctx context.Context, prefix, after string) ([]platform.Item, platform.Position, error) {
	if l.cut.Load() {
		return nil, platform.Position{}, sleep(ctx, callTimeout, errInjected)
	}
	return l.Store.Range(ctx, prefix, after)
}

func (l *link) Watch(ctx context.Context, prefix string, after platform.Position, wait time.Duration) (platform.Change, error) {
	if l.cut.Load() {
		return platform.Change{}, sleep(ctx, callTimeout, errInjected)
	}
	return l.Store.Watch(ctx, prefix, after, wait)
}

// Guards against processes that take changes from others and miss some, go back, or take old
// news for new: others that are cut off from the store, paused, restarted or late.
func TestConfirmedViewFromPeersContainsAllEarlierWrites(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) { playFleetWithFaults(t, seed) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// observedProcess is a directory with what was last seen of it.
type observedProcess struct {
	*Directory
	link    *link
	stop    context.CancelFunc
	started time.Time
	version int64
}

func playFleetWithFaults(t *testing.T, seed uint64) {
	const size, steps = 5, 120
	rng := rand.New(rand.NewPCG(seed, 2))
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		group.Wait()
	}()
	store := newCountingStore()
	store.put("op/config", "1")
	f := &fleet{directories: make(map[string]*Directory)}
	// suspended is the time in which all hosts were suspended.
	var suspended atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	accepted := []acceptedConfig{{1, now().Add(-time.Hour)}}
	processes := make([]*observedProcess, size)
	start := func(i int) {
		p := &observedProcess{link: &link{Store: store}, started: now()}
		processes[i] = p
		var own context.Context
		own, p.stop = context.WithCancel(ctx)
		p.Directory = f.startWith(own, &group, p.link, catalog.Member{Name: fmt.Sprintf("edge-%d", i), Zone: "a"}, 0,
			func() time.Duration { return now().Sub(p.started) + time.Nanosecond })
	}
	for i := range size {
		start(i)
	}
	check := func() {
		for i, p := range processes {
			version := configVersion(p.View())
			if version < p.version {
				t.Errorf("process %d went back to version %d from %d", i, version, p.version)
			}
			p.version = version
			age, known := p.Age()
			if !known {
				continue
			}
			asOf := now().Add(-age)
			for _, a := range accepted {
				if a.at.Before(asOf) && version < a.version {
					t.Errorf("process %d has version %d as of %s ago, but %d was accepted %s ago", i, version, age, a.version, now().Sub(a.at))
				}
			}
		}
	}
	setFault := func(fault func(context.Context) error) {
		f.mu.Lock()
		f.fault = fault
		f.mu.Unlock()
	}
	for range steps {
		switch p := processes[rng.IntN(size)]; rng.IntN(10) {
		case 0, 1, 2:
			version := accepted[len(accepted)-1].version + 1
			store.write("op/config", fmt.Sprint(version))
			accepted = append(accepted, acceptedConfig{version, now()})
		case 3:
			store.injectFault(rng)
		case 4:
			p.link.cut.Store(!p.link.cut.Load())
		case 5:
			i := slices.Index(processes, p)
			p.stop()
			start(i)
		case 6:
			suspended.Add(int64(rng.IntN(5000)) * int64(time.Millisecond))
		case 7:
			delay, lost := time.Duration(rng.IntN(1500))*time.Millisecond, rng.IntN(3) == 0
			setFault(func(ctx context.Context) error {
				if lost {
					return sleep(ctx, time.Hour, errInjected)
				}
				return sleep(ctx, delay, nil)
			})
		case 8:
			setFault(nil)
		case 9:
			if seed%2 == 0 {
				continue
			}
			store.restore(rng.IntN(6))
			// The operator writes again at once what the store lost.
			newest := &accepted[len(accepted)-1]
			if store.value("op/config") != fmt.Sprint(newest.version) {
				store.write("op/config", fmt.Sprint(newest.version))
				newest.at = now()
			}
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		synctest.Wait()
		check()
	}
	store.mu.Lock()
	store.down, store.unresponsive, store.watchStalled, store.loseResponses, store.delayBefore, store.delayAfter = false, false, false, false, 0, 0
	store.mu.Unlock()
	setFault(nil)
	for _, p := range processes {
		p.link.cut.Store(false)
	}
	time.Sleep(recoveryBound)
	check()
	for i, p := range processes {
		if newest := accepted[len(accepted)-1].version; configVersion(p.View()) != newest {
			t.Errorf("process %d has version %d after the faults ended, newest is %d", i, configVersion(p.View()), newest)
		}
		if age, known := p.Age(); !known || age > p.timing.checkInterval+maxWatchLag {
			t.Errorf("the view of process %d is %s old after the faults ended", i, age)
		}
	}
}
