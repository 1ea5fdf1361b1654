package directory

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// plain decodes items whose values are a configuration's version or anything.
type plain struct{}

func (plain) Layout() Layout {
	return Layout{OperatorPrefix: "op/", LargeItemKey: "op/config", MemberKey: func(n string) string { return "members/" + n },
		StatusKey: func(s string) string { return "status/" + s }}
}

func (plain) Decode(view *catalog.View, item platform.Item, _ time.Time) error {
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

func (plain) EncodeMember(catalog.Member) ([]byte, error) { return nil, nil }

func (plain) EncodeStatus(string, string, catalog.MoveState) ([]byte, error) { return nil, nil }

// troubled is a store in memory whose answers are late, lost or errors as told.
type troubled struct {
	mu       sync.Mutex
	revision int64
	items    map[string]platform.Item
	history  []platform.Item
	dropped  int64
	// down refuses calls, silent answers none, deaf lets watches hear nothing, lost
	// carries calls out without an answer.
	down, silent, deaf, lost bool
	// before and after are how long a call takes until and since it is carried out.
	before, after time.Duration
}

var errTrouble = errors.New("the store is in trouble")

// callTimeout is when the client of the store gives a call up.
const callTimeout = time.Second

func (s *troubled) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := platform.Item{Key: key, Value: []byte(value), Revision: s.revision}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *troubled) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, platform.Item{Key: key, Revision: s.revision, Deleted: true})
}

// call plays what becomes of a call; carry carries it out.
func (s *troubled) call(ctx context.Context, carry func()) error {
	s.mu.Lock()
	down, silent, lost, before, after := s.down, s.silent, s.lost, s.before, s.after
	s.mu.Unlock()
	switch {
	case down:
		return errTrouble
	case silent:
		return sleep(ctx, callTimeout, errTrouble)
	}
	if err := sleep(ctx, before, nil); err != nil {
		return err
	}
	s.mu.Lock()
	carry()
	s.mu.Unlock()
	if lost {
		return sleep(ctx, callTimeout, errTrouble)
	}
	return sleep(ctx, after, nil)
}

// sleep waits and returns an error, or that of the context if it ends first. No
// timer is made for no wait: under the race detector Go 1.26 crashes in a select on a
// timer of made-up time that has already run out.
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
func (s *troubled) Range(ctx context.Context, prefix, after string) (items []platform.Item, at int64, err error) {
	err = s.call(ctx, func() {
		at = s.revision
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, item)
			}
		}
	})
	return items, at, err
}

// Watch implements platform.Store.
func (s *troubled) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Change, error) {
	for until := time.Now().Add(wait); ; {
		change, gone := platform.Change{Revision: after}, false
		err := s.call(ctx, func() {
			gone = after < s.dropped
			for _, item := range s.history {
				if item.Revision > after && !s.deaf && strings.HasPrefix(item.Key, prefix) {
					change.Items, change.Revision = append(change.Items, item), s.revision
				}
			}
		})
		switch {
		case err != nil:
			return platform.Change{}, err
		case gone:
			return platform.Change{}, platform.ErrCompacted
		case len(change.Items) > 0 || time.Now().After(until):
			return change, nil
		}
		if err := sleep(ctx, 10*time.Millisecond, nil); err != nil {
			return platform.Change{}, err
		}
	}
}

// Commit implements platform.Store; nothing here writes.
func (s *troubled) Commit(context.Context, []platform.Condition, []platform.Write, []string) (int64, error) {
	return 0, errTrouble
}

// set changes what is wrong with the store.
func (s *troubled) set(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent, s.deaf, s.lost, s.before, s.after = false, false, false, false, 0, 0
	switch rng.IntN(8) {
	case 0:
		s.down = true
	case 1:
		s.silent = true
	case 2:
		s.deaf = true
	case 3:
		s.lost = true
	case 4:
		s.before, s.after = time.Duration(rng.IntN(900))*time.Millisecond, time.Duration(rng.IntN(900))*time.Millisecond
	case 5:
		s.dropped, s.history = s.revision, nil
	}
}

// acknowledged is a configuration and when the store had accepted it.
type acknowledged struct {
	version int64
	at      time.Time
}

// Whatever the store does and however long the host is suspended: the view never
// goes back, a view that is called confirmed as of a moment holds all that was
// accepted before it, and once the store is sound all is known in time. Revoked keys
// and configurations in force rest on this.
func TestAConfirmedViewHoldsAllThatWasAcceptedBefore(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) { playTroubles(t, seed) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func playTroubles(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	store := &troubled{items: make(map[string]platform.Item)}
	store.put("op/config", "1")
	d := New(store, plain{}, func(*catalog.View) {}, metrics.NewRegistry(), logr.Discard())
	started, suspended := time.Now(), time.Duration(0)
	var mu sync.Mutex
	boot := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(started) + suspended + time.Nanosecond
	}
	d.boot = boot
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { d.Follow(ctx) })
	group.Go(func() { d.Check(ctx) })
	accepted := []acknowledged{{1, started.Add(-time.Hour)}}
	last := int64(0)
	check := func() {
		version := versionOf(d.View())
		if version < last {
			t.Errorf("version %d after %d", version, last)
		}
		last = version
		age, known := d.Age()
		if !known {
			return
		}
		asOf := started.Add(boot() - age)
		for _, a := range accepted {
			if a.at.Before(asOf) && version < a.version {
				t.Errorf("version %d as of %s, but %d was accepted at %s", version, asOf.Sub(started), a.version, a.at.Sub(started))
			}
		}
	}
	for range 120 {
		switch n := rng.IntN(10); {
		case n < 3:
			version := accepted[len(accepted)-1].version + 1 + int64(rng.IntN(3))
			store.put("op/config", fmt.Sprint(version))
			accepted = append(accepted, acknowledged{version, started.Add(boot())})
		case n < 5:
			store.put(fmt.Sprintf("servers/%d", rng.IntN(4)), "ready")
		case n < 6:
			store.remove(fmt.Sprintf("servers/%d", rng.IntN(4)))
		case n < 8:
			store.set(rng)
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
	store.down, store.silent, store.deaf, store.lost, store.before, store.after = false, false, false, false, 0, 0
	store.mu.Unlock()
	time.Sleep(soundWithin)
	check()
	if newest := accepted[len(accepted)-1].version; versionOf(d.View()) != newest {
		t.Errorf("version %d once the store is sound, newest %d", versionOf(d.View()), newest)
	}
	if age, known := d.Age(); !known || age > soundWithin {
		t.Errorf("the view is %s old once the store is sound", age)
	}
	cancel()
	group.Wait()
}

// soundWithin is the time within which all is known once the store is sound: the
// contact time of the deployments and the bound on configurations.
const soundWithin = 5 * time.Second
