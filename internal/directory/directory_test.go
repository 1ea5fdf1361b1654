package directory

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// testDecoder decodes targets and the configuration, whose value is its version;
// it ignores other items.
type testDecoder struct{}

func (testDecoder) Layout() Layout {
	return Layout{OperatorPrefix: "op/", LargeItemKey: "op/config", MemberKey: func(n string) string { return "members/" + n },
		StatusKey: func(s string) string { return "status/" + s }}
}

func (testDecoder) Decode(view *catalog.View, item platform.Item, _ time.Time) error {
	id, isTarget := strings.CutPrefix(item.Key, "servers/")
	switch {
	case isTarget && item.Deleted:
		delete(view.Targets, id)
	case isTarget:
		view.Targets[id] = &catalog.Target{ID: id, Revision: item.Revision, Leaving: string(item.Value) == "leaving"}
	case item.Key == "op/config":
		var version int64
		if _, err := fmt.Sscan(string(item.Value), &version); err != nil {
			return err
		}
		if view.Config == nil || version > view.Config.Version {
			view.Config = &catalog.Configuration{Version: version}
		}
	}
	return nil
}

func (testDecoder) EncodeMember(catalog.Member) ([]byte, error) { return nil, nil }

func (testDecoder) EncodeStatus(string, string, catalog.MoveState) ([]byte, error) { return nil, nil }

// faultyStore is an in-memory store with injected faults: calls fail, and
// responses are late or lost.
type faultyStore struct {
	mu          sync.Mutex
	era         int64
	revision    int64
	items       map[string]platform.Item
	history     []platform.Item
	compactedTo int64
	// log holds all changes of the present history, also those that were compacted.
	log []platform.Item
	// down fails calls at once, unresponsive lets them time out, watchStalled hides
	// all changes from watches, loseResponses executes calls but loses the
	// responses.
	down, unresponsive, watchStalled, loseResponses bool
	// delayBefore and delayAfter delay a call and its response.
	delayBefore, delayAfter time.Duration
}

var errInjected = errors.New("injected store fault")

const (
	// callTimeout is the timeout of the store's client.
	callTimeout = time.Second
	// roundTrip is the shortest time of a call.
	roundTrip = time.Millisecond
)

func (s *faultyStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := platform.Item{Key: key, Value: []byte(value), Revision: s.revision}
	s.items[key] = item
	s.history, s.log = append(s.history, item), append(s.log, item)
}

func (s *faultyStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	item := platform.Item{Key: key, Revision: s.revision, Deleted: true}
	s.history, s.log = append(s.history, item), append(s.log, item)
}

// restore has the store go on from a copy without its latest changes.
func (s *faultyStore) restore(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := max(1, len(s.log)-changes)
	s.log = s.log[:kept:kept]
	s.era++
	clear(s.items)
	for _, item := range s.log {
		s.revision = item.Revision
		if s.items[item.Key] = item; item.Deleted {
			delete(s.items, item.Key)
		}
	}
	s.compactedTo = min(s.compactedTo, s.revision)
	s.history = slices.DeleteFunc(s.history, func(item platform.Item) bool { return item.Revision > s.revision })
}

// call applies the injected faults to a call; execute is the call itself.
func (s *faultyStore) call(ctx context.Context, execute func()) error {
	s.mu.Lock()
	down, unresponsive, lost, before, after := s.down, s.unresponsive, s.loseResponses, s.delayBefore, s.delayAfter
	s.mu.Unlock()
	switch {
	case down:
		return errInjected
	case unresponsive:
		return sleep(ctx, callTimeout, errInjected)
	}
	if err := sleep(ctx, max(before, roundTrip), nil); err != nil {
		return err
	}
	s.mu.Lock()
	execute()
	s.mu.Unlock()
	if lost {
		return sleep(ctx, callTimeout, errInjected)
	}
	return sleep(ctx, after, nil)
}

// sleep waits and returns err, or the context's error if the context ends first.
// It creates no timer for a zero wait: under the race detector, Go 1.26 crashes
// in a select on a fake-clock timer that has already expired.
func sleep(ctx context.Context, d time.Duration, err error) error {
	if d <= 0 {
		return cmp.Or(ctx.Err(), err)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return err
	}
}

// Range implements platform.Store.
func (s *faultyStore) Range(ctx context.Context, prefix, after string) (items []platform.Item, at platform.Position, err error) {
	err = s.call(ctx, func() {
		at = platform.Position{Era: s.era, Revision: s.revision}
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, item)
			}
		}
	})
	return items, at, err
}

// Watch implements platform.Store.
func (s *faultyStore) Watch(ctx context.Context, prefix string, after platform.Position, wait time.Duration) (platform.Change, error) {
	for until := time.Now().Add(wait); ; {
		change, compacted := platform.Change{Position: after}, false
		err := s.call(ctx, func() {
			compacted = after.Revision < s.compactedTo || after.Revision > s.revision
			change.Position.Era = s.era
			for _, item := range s.history {
				if item.Revision > after.Revision && !s.watchStalled && strings.HasPrefix(item.Key, prefix) {
					change.Items, change.Position.Revision = append(change.Items, item), s.revision
				}
			}
		})
		switch {
		case err != nil:
			return platform.Change{}, err
		case compacted:
			return platform.Change{}, platform.ErrCompacted
		case len(change.Items) > 0 || time.Now().After(until):
			return change, nil
		}
		if err := sleep(ctx, 10*time.Millisecond, nil); err != nil {
			return platform.Change{}, err
		}
	}
}

// Commit implements platform.Store; the tests don't call it.
func (s *faultyStore) Commit(context.Context, []platform.Condition, []platform.Write, []string) (platform.Position, error) {
	return platform.Position{}, errInjected
}

// injectFault replaces the store's fault with a random one or none.
func (s *faultyStore) injectFault(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.unresponsive, s.watchStalled, s.loseResponses, s.delayBefore, s.delayAfter = false, false, false, false, 0, 0
	switch rng.IntN(8) {
	case 0:
		s.down = true
	case 1:
		s.unresponsive = true
	case 2:
		s.watchStalled = true
	case 3:
		s.loseResponses = true
	case 4:
		s.delayBefore, s.delayAfter = time.Duration(rng.IntN(900))*time.Millisecond, time.Duration(rng.IntN(900))*time.Millisecond
	case 5:
		s.compactedTo, s.history = s.revision, nil
	}
}

// acceptedConfig is a configuration's version and when the store accepted it.
type acceptedConfig struct {
	version int64
	at      time.Time
}

// With any store faults and host suspensions, the view never goes back to an
// older version, and a view that is confirmed as of a time contains everything
// that the store accepted before it. Once the faults end, the view is current
// within recoveryBound. The revocation of API keys and the time limit for a
// configuration to take effect depend on this.
func TestConfirmedViewContainsAllEarlierWrites(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed, false) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Guards against views that miss changes, or go back, when the store returns from older copies.
func TestConfirmedViewContainsAllWritesAfterRestores(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed, true) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func runWithFaults(t *testing.T, seed uint64, restores bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	store := &faultyStore{items: make(map[string]platform.Item)}
	store.put("op/config", "1")
	d := New(store, testDecoder{}, Options{OnChange: func(*catalog.View) {}}, metrics.NewRegistry(), logr.Discard())
	started, suspended := time.Now(), time.Duration(0)
	var mu sync.Mutex
	sinceBoot := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(started) + suspended + time.Nanosecond
	}
	d.sinceBoot = sinceBoot
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { d.Follow(ctx) })
	group.Go(func() { d.Check(ctx) })
	group.Go(func() {
		for wait.For(ctx, 250*time.Millisecond) {
			d.Expire()
		}
	})
	accepted := []acceptedConfig{{1, started.Add(-time.Hour)}}
	lastVersion := int64(0)
	check := func() {
		version := configVersion(d.View())
		if version < lastVersion {
			t.Errorf("view went back to version %d from %d", version, lastVersion)
		}
		lastVersion = version
		age, known := d.Age()
		if !known {
			return
		}
		asOf := started.Add(sinceBoot() - age)
		for _, a := range accepted {
			if a.at.Before(asOf) && version < a.version {
				t.Errorf("view has version %d as of %s, but %d was accepted at %s", version, asOf.Sub(started), a.version, a.at.Sub(started))
			}
		}
	}
	for range 120 {
		if restores && rng.IntN(12) == 0 {
			newest := accepted[len(accepted)-1].version
			targets := make(map[string]bool)
			for key := range store.items {
				targets[key] = true
			}
			store.restore(rng.IntN(12))
			// The operator and the targets write again at once what they had written.
			for key := range store.items {
				if !targets[key] {
					store.remove(key)
				}
			}
			for key := range targets {
				if _, ok := store.items[key]; !ok && key != "op/config" {
					store.put(key, "ready")
				}
			}
			if string(store.items["op/config"].Value) != fmt.Sprint(newest) {
				store.put("op/config", fmt.Sprint(newest))
				accepted[len(accepted)-1].at = started.Add(sinceBoot())
			}
		}
		switch n := rng.IntN(10); {
		case n < 3:
			version := accepted[len(accepted)-1].version + 1 + int64(rng.IntN(3))
			store.put("op/config", fmt.Sprint(version))
			accepted = append(accepted, acceptedConfig{version, started.Add(sinceBoot())})
		case n < 5:
			store.put(fmt.Sprintf("servers/%d", rng.IntN(4)), "ready")
		case n < 6:
			store.remove(fmt.Sprintf("servers/%d", rng.IntN(4)))
		case n < 8:
			store.injectFault(rng)
		case n < 9:
			mu.Lock()
			suspended += time.Duration(rng.IntN(5000)) * time.Millisecond
			mu.Unlock()
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		synctest.Wait()
		check()
	}
	store.mu.Lock()
	store.down, store.unresponsive, store.watchStalled, store.loseResponses, store.delayBefore, store.delayAfter = false, false, false, false, 0, 0
	store.mu.Unlock()
	time.Sleep(recoveryBound)
	check()
	if newest := accepted[len(accepted)-1].version; configVersion(d.View()) != newest {
		t.Errorf("view has version %d after the faults ended, newest is %d", configVersion(d.View()), newest)
	}
	if age, known := d.Age(); !known || age > recoveryBound {
		t.Errorf("view is %s old after the faults ended", age)
	}
	time.Sleep(restoreGrace)
	for key, item := range store.items {
		if id, ok := strings.CutPrefix(key, "servers/"); ok && (d.View().Targets[id] == nil || d.View().Targets[id].Revision != item.Revision) {
			t.Errorf("view lacks target %s at revision %d", id, item.Revision)
		}
	}
	for id := range d.View().Targets {
		if _, ok := store.items["servers/"+id]; !ok {
			t.Errorf("view has target %s that is gone", id)
		}
	}
	cancel()
	group.Wait()
}

// recoveryBound is the time after the end of the faults within which the view must
// be current: the time that deployments have to settle before time limits apply
// again, plus the time limit for a configuration to take effect.
const recoveryBound = 5 * time.Second
