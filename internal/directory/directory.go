// Package directory keeps a process's view of the deployment in step with the
// platform's store: one watch, a periodic check that the watch is not deaf, and
// a full read where history is missing. It also registers the process itself.
package directory

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Times of the duties.
const (
	// watchWait is how long one watch waits; a waiting watch is one call.
	watchWait = 20 * time.Second
	// checkEvery is the pause between two checks of the watch: with catchUp and
	// the read after it, it fits into the two seconds within which a configuration
	// must be in force. A check that fails is made again after checkAgain.
	checkEvery = 1400 * time.Millisecond
	checkAgain = 300 * time.Millisecond
	// catchUp is how long a watch may lag behind a check before it counts as
	// deaf.
	catchUp = 300 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// returnGrace is how long entries that lapsed in an outage of the store may
	// take to come back.
	returnGrace = 2 * time.Second
	// outageAfter is the time without a good call after which the store counts
	// as away.
	outageAfter = time.Second
)

// Layout names the parts of the store that a process follows.
type Layout struct {
	// OperatorPrefix is the prefix of what the operator writes, and LargeItemKey the
	// first of its keys, which a cheap check passes over.
	OperatorPrefix, LargeItemKey string
	// MemberKey returns the key of a process, StatusKey that of a service's move.
	MemberKey func(name string) string
	StatusKey func(service string) string
}

// Decoder turns items of the store into a view.
type Decoder interface {
	Layout() Layout
	// Decode enters one item into a view. An item that can't be read leaves
	// the view without it and is an error.
	Decode(view *catalog.View, item platform.Item, now time.Time) error
	EncodeMember(m catalog.Member) ([]byte, error)
	EncodeStatus(service, to string, state catalog.MoveState) ([]byte, error)
}

// Directory is the view of one process. It is safe for concurrent use.
type Directory struct {
	store   platform.Store
	decoder Decoder
	layout  Layout
	log     logr.Logger
	// boot returns the time since the host started, suspensions included.
	boot   func() time.Duration
	calls  metrics.Counter
	failed metrics.Counter

	view atomic.Pointer[catalog.View]
	// confirmed is the moment, by clock.SinceBoot, for which the view is known to be
	// the newest; 0 until the first.
	confirmed atomic.Int64
	changed   func(*catalog.View)

	// mu guards what follows.
	mu sync.Mutex
	// applied is the revision up to which all changes are in the view.
	applied int64
	// moved is closed and replaced when applied rises.
	moved chan struct{}
	// lapsed holds deletions that wait for their grace, by key.
	lapsed map[string]time.Time
	// lastGood is when a call last succeeded, and returned when the store last
	// came back after an outage.
	lastGood, returned time.Time
	// returnedAt is the store's revision when it came back; 0 until it is told.
	// What was removed later did not lapse.
	returnedAt int64
	away       atomic.Bool
	// unreadable holds the revisions of items that were reported as unreadable.
	unreadable map[string]int64
	resync     chan struct{}
}

// New returns a directory with an empty view. Changed is called with each new
// view, one call at a time.
func New(store platform.Store, decoder Decoder, changed func(*catalog.View), registry metrics.Registry, log logr.Logger) *Directory {
	d := &Directory{
		store: store, decoder: decoder, layout: decoder.Layout(), changed: changed, log: log, boot: clock.SinceBoot,
		calls:      metrics.GetOrRegisterCounter(telemetry.Name("store_calls_total"), registry),
		failed:     metrics.GetOrRegisterCounter(telemetry.Name("store_calls_failed_total"), registry),
		moved:      make(chan struct{}),
		lapsed:     make(map[string]time.Time),
		unreadable: make(map[string]int64),
		resync:     make(chan struct{}, 1),
		lastGood:   time.Now(),
	}
	d.view.Store(emptyView())
	return d
}

func emptyView() *catalog.View {
	return &catalog.View{
		Targets: map[string]*catalog.Target{}, ZonesOut: map[string]bool{},
		Moves: map[string]*catalog.MoveOrder{}, MoveStatuses: map[string]catalog.MoveStatus{},
		Members: map[string]catalog.Member{},
	}
}

// copyView returns a view whose maps can be changed.
func copyView(v *catalog.View) *catalog.View {
	return &catalog.View{
		Config: v.Config, Targets: maps.Clone(v.Targets), ZonesOut: maps.Clone(v.ZonesOut),
		Moves: maps.Clone(v.Moves), MoveStatuses: maps.Clone(v.MoveStatuses), Members: maps.Clone(v.Members),
	}
}

// View returns the present view, which must not be changed.
func (d *Directory) View() *catalog.View { return d.view.Load() }

// Age returns how old the knowledge is that the view was the newest. Time in
// which the host was suspended counts. It reports false if there is none yet.
func (d *Directory) Age() (time.Duration, bool) {
	at := d.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return d.boot() - time.Duration(at), true
}

// StoreDown reports whether the store does not answer.
func (d *Directory) StoreDown() bool { return d.away.Load() }

// Follow keeps the view in step until the context ends.
func (d *Directory) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.read(ctx); err != nil {
			wait.For(ctx, retryPause)
			continue
		}
		d.watch(ctx)
	}
}

// read replaces the view by all items of the store.
func (d *Directory) read(ctx context.Context) error {
	sent := d.boot()
	items, at, err := d.store.Range(ctx, "", "")
	d.note(err)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteReturn(at)
	old := d.view.Load()
	view := emptyView()
	view.Config = old.Config
	now := time.Now()
	for _, item := range items {
		d.enter(view, item, now)
	}
	d.keepKnown(old, view)
	d.keepLapsed(old, view, now)
	d.publish(view, at)
	d.confirm(sent)
	d.log.Info("view read", "items", len(items), "revision", at, "configuration", versionOf(view))
	return nil
}

// keepKnown keeps targets and orders that did not change, since the time that a
// cold target has left, and that of a move, count from when they were first seen.
func (d *Directory) keepKnown(old, view *catalog.View) {
	for service, order := range old.Moves {
		if m := view.Moves[service]; m != nil && m.Revision == order.Revision {
			view.Moves[service] = order
		}
	}
	for id, target := range old.Targets {
		if t := view.Targets[id]; t != nil && t.Revision == target.Revision {
			view.Targets[id] = target
		}
	}
}

// keepLapsed keeps targets that are missing while the store has only just come
// back.
func (d *Directory) keepLapsed(old, view *catalog.View, now time.Time) {
	if now.Sub(d.returned) >= returnGrace {
		return
	}
	for id, target := range old.Targets {
		if _, ok := view.Targets[id]; !ok && !target.Leaving {
			view.Targets[id] = target
			d.lapsed[id] = d.returned.Add(returnGrace)
		}
	}
}

// watch follows changes until history is missing or the check finds the watch
// deaf.
func (d *Directory) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-d.resync:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		d.mu.Lock()
		after := d.applied
		d.mu.Unlock()
		change, err := d.store.Watch(ctx, "", after, watchWait)
		if ctx.Err() != nil {
			return
		}
		d.note(err)
		if errors.Is(err, platform.ErrCompacted) {
			d.log.Info("history is gone", "after", after)
			return
		}
		if err != nil {
			if !wait.For(ctx, retryPause) {
				return
			}
			continue
		}
		d.apply(change)
	}
}

// apply enters the changes of a watch.
func (d *Directory) apply(change platform.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	view, now := copyView(d.view.Load()), time.Now()
	d.noteReturn(change.Revision)
	for _, item := range change.Items {
		if item.Deleted && d.deferred(item, view, now) {
			continue
		}
		d.enter(view, item, now)
	}
	d.publish(view, change.Revision)
}

// noteReturn notes the first revision that is heard after an outage. The caller
// holds the lock.
func (d *Directory) noteReturn(at int64) {
	if d.returnedAt == 0 {
		d.returnedAt = at
	}
}

// deferred puts off the deletion of a target's entry that may have lapsed in an
// outage.
func (d *Directory) deferred(item platform.Item, view *catalog.View, now time.Time) bool {
	if !d.away.Load() && now.Sub(d.returned) >= returnGrace || d.returnedAt > 0 && item.Revision > d.returnedAt {
		return false
	}
	for id, target := range view.Targets {
		if strings.HasSuffix(item.Key, "/"+id) && !target.Leaving {
			d.lapsed[id] = now.Add(returnGrace)
			return true
		}
	}
	return false
}

// enter decodes one item. An unreadable one is logged once a revision.
func (d *Directory) enter(view *catalog.View, item platform.Item, now time.Time) {
	err := d.decoder.Decode(view, item, now)
	if _, id, ok := strings.Cut(item.Key, "/"); ok {
		delete(d.lapsed, id) // it is back
	}
	if err != nil && d.unreadable[item.Key] != item.Revision {
		d.unreadable[item.Key] = item.Revision
		d.log.Error(err, "item skipped", "key", item.Key, "revision", item.Revision)
	}
}

// publish makes a view the present one. The caller holds the lock.
func (d *Directory) publish(view *catalog.View, at int64) {
	now := time.Now()
	for id, until := range d.lapsed {
		if now.After(until) {
			delete(d.lapsed, id)
		}
	}
	if at > d.applied {
		d.applied = at
		close(d.moved)
		d.moved = make(chan struct{})
	}
	d.logChanges(d.view.Load(), view)
	d.view.Store(view)
	d.changed(view)
}

// Expire removes targets whose entries did not come back after an outage.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var gone []string
	for id, until := range d.lapsed {
		if now.After(until) {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return
	}
	view := copyView(d.view.Load())
	for _, id := range gone {
		delete(view.Targets, id)
	}
	d.publish(view, d.applied)
}

// confirm notes that the view is the newest as of a moment.
func (d *Directory) confirm(sent time.Duration) {
	for {
		old := d.confirmed.Load()
		if int64(sent) <= old || d.confirmed.CompareAndSwap(old, int64(sent)) {
			return
		}
	}
}

// note keeps track of whether the store answers.
func (d *Directory) note(err error) {
	d.calls.Inc(1)
	reachable := err == nil || errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrConflict)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reachable {
		d.failed.Inc(1)
		if !d.away.Load() && now.Sub(d.lastGood) > outageAfter {
			d.away.Store(true)
			d.log.Error(err, "store lost", "silent_ms", now.Sub(d.lastGood).Milliseconds())
		}
		return
	}
	if d.away.Load() {
		d.away.Store(false)
		d.returned, d.returnedAt = now, 0
		d.log.Info("store regained", "away_ms", now.Sub(d.lastGood).Milliseconds())
	}
	d.lastGood = now
}

// Check confirms the view again and again until the context ends: a silent
// watch proves nothing, but an answer that names the store's revision does.
func (d *Directory) Check(ctx context.Context) {
	pause := checkEvery
	for wait.For(ctx, pause) {
		pause = checkAgain
		sent := d.boot()
		_, at, err := d.store.Range(ctx, d.layout.OperatorPrefix, d.layout.LargeItemKey)
		d.note(err)
		if err != nil {
			continue
		}
		d.mu.Lock()
		d.noteReturn(at)
		d.mu.Unlock()
		if d.reached(ctx, at) {
			d.confirm(sent)
			pause = checkEvery
			continue
		}
		d.log.Info("watch is behind", "revision", at)
		select {
		case d.resync <- struct{}{}:
		default:
		}
	}
}

// reached waits a little until the view holds all changes up to a revision.
func (d *Directory) reached(ctx context.Context, at int64) bool {
	timer := time.NewTimer(catchUp)
	defer timer.Stop()
	for {
		d.mu.Lock()
		applied, moved := d.applied, d.moved
		d.mu.Unlock()
		if applied >= at {
			return true
		}
		select {
		case <-moved:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func versionOf(v *catalog.View) int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}
