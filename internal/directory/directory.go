// Package directory keeps a process's view of the deployment up to date with the
// platform's store. One process of an availability zone watches the store, with a
// periodic check that the watch has not stalled and a full read if the store's history
// is compacted. The others take changes from it, with the time as of which its view is
// known to be current, and turn to the store themselves when it is silent or outdated.
// The package also registers the process itself.
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
	"golang.org/x/time/rate"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

const (
	// watchTimeout is how long one watch call waits for changes.
	watchTimeout = 20 * time.Second
	// defaultMaxApplyDelay is the time limit for a configuration to be in force if the
	// operator sets none.
	defaultMaxApplyDelay = 2 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 150 * time.Millisecond
	// recoveryGrace is the time that targets have after an outage of the store to
	// write their expired entries again.
	recoveryGrace = 2 * time.Second
	// restoreGrace is the time after a restore of the store in which what was lost is
	// written again, and in which entries of targets that are gone expire again.
	restoreGrace = 5 * time.Second
	// departureMemory is how long a target that left is remembered. Copies from which a
	// store is restored are some seconds old.
	departureMemory = time.Minute
	// maxUnreadable bounds the items that are remembered since they can't be decoded, and
	// maxUnreadableLogs the log lines about such items in a second.
	maxUnreadable     = 1000
	maxUnreadableLogs = 20
	// outageAfter is the time without a successful call after which a failed call
	// marks the store as down.
	outageAfter = time.Second
)

// Layout defines the keys of the store that a process uses.
type Layout struct {
	// OperatorPrefix is the prefix of the operator's keys. LargeItemKey is the
	// first of them; the periodic check starts after it, since its item is large.
	OperatorPrefix, LargeItemKey string
	// MemberKey returns the key of a process, StatusKey that of a service's move.
	MemberKey func(name string) string
	StatusKey func(service string) string
}

// Decoder turns items of the store into a view.
type Decoder interface {
	Layout() Layout
	// Decode applies one item to a view. It returns an error for an item that
	// can't be decoded and leaves it out of the view.
	Decode(view *catalog.View, item platform.Item, now time.Time) error
	EncodeMember(m catalog.Member) ([]byte, error)
	EncodeStatus(service, to string, state catalog.MoveState) ([]byte, error)
}

// Options configure a directory.
type Options struct {
	// Self is the process itself.
	Self catalog.Member
	// MaxApplyDelay is the time after which a configuration must be in force and a
	// leaving target gets no new requests; 0 means 2 s.
	MaxApplyDelay time.Duration
	// Peers are the calls to other processes, or nil if this one uses the store only.
	Peers Peers
	// OnChange is called with each new view, one call at a time.
	OnChange func(*catalog.View)
}

// Directory holds the view of one process. It is safe for concurrent use.
type Directory struct {
	store   platform.Store
	decoder Decoder
	layout  Layout
	self    catalog.Member
	timing  timing
	log     logr.Logger
	// sinceBoot returns the time since the host started, including suspensions.
	sinceBoot   func() time.Duration
	calls       metrics.Counter
	failedCalls metrics.Counter

	view atomic.Pointer[catalog.View]
	// confirmedAt is the latest time, by clock.SinceBoot, at which the view was
	// known to be current; 0 before the first confirmation.
	confirmedAt atomic.Int64
	onChange    func(*catalog.View)

	// mu guards the fields below, except resyncRequests. down is written with mu
	// held and read without it.
	mu sync.Mutex
	// applied is the position up to which the view contains all changes.
	applied platform.Position
	// advanced is closed and replaced when applied advances.
	advanced chan struct{}
	// pendingDeletions holds, by target ID, the time at which a target that is
	// missing in the store is removed from the view.
	pendingDeletions map[string]time.Time
	// lastSuccess is when a call last succeeded, and recoveredAt when the store
	// last recovered from an outage.
	lastSuccess, recoveredAt time.Time
	// recoveredRevision is the store's revision after the recovery; 0 until the
	// first response with a revision. Entries removed at a later revision did not
	// expire in the outage.
	recoveredRevision int64
	down              atomic.Bool
	// unreadable holds, by key, the revisions of items that were logged because
	// they can't be decoded, as far as maxUnreadable allows.
	unreadable map[string]int64
	// unreadableLimiter limits the log lines about them, and unreadableItems counts how often
	// one was skipped.
	unreadableLimiter *rate.Limiter
	unreadableItems   metrics.Counter
	// newestEra is the latest era of the store that a response named.
	newestEra int64
	// restoredAt is when the view was first read from the store's present history; zero
	// if it is the first one that this process knows.
	restoredAt time.Time
	// departures holds, by ID, the targets that left within departureMemory.
	departures map[string]departure
	// resyncRequests ends the current watch, so that the whole store is read again.
	resyncRequests chan struct{}
	// checkRequests has the view checked now if it is due, and watchRequests ends the
	// pause after a change.
	checkRequests, watchRequests chan struct{}
	// history holds the latest changes for other processes, and followedAt is when one
	// last asked for changes, by sinceBoot; 0 before the first.
	history    history
	followedAt atomic.Int64
	// watchers selects the process to take changes from.
	watchers *watchers
}

// New returns a directory with an empty view.
func New(store platform.Store, decoder Decoder, o Options, registry metrics.Registry, log logr.Logger) *Directory {
	d := &Directory{
		store: store, decoder: decoder, layout: decoder.Layout(), self: o.Self, timing: newTiming(o.MaxApplyDelay),
		onChange: o.OnChange, log: log, sinceBoot: clock.SinceBoot,
		calls:            metrics.GetOrRegisterCounter(telemetry.Name("store_calls_total"), registry),
		failedCalls:      metrics.GetOrRegisterCounter(telemetry.Name("store_calls_failed_total"), registry),
		advanced:         make(chan struct{}),
		pendingDeletions: make(map[string]time.Time),
		unreadable:       make(map[string]int64),

		unreadableLimiter: rate.NewLimiter(maxUnreadableLogs, maxUnreadableLogs),
		unreadableItems:   metrics.GetOrRegisterCounter(telemetry.Name("store_items_unreadable_total"), registry),

		departures:     make(map[string]departure),
		resyncRequests: make(chan struct{}, 1),
		checkRequests:  make(chan struct{}, 1),
		watchRequests:  make(chan struct{}, 1),
		lastSuccess:    time.Now(),
		watchers:       newWatchers(o.Self, o.Peers, registry),
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

// copyView returns a copy of a view with maps that may be changed.
func copyView(v *catalog.View) *catalog.View {
	return &catalog.View{
		Config: v.Config, Targets: maps.Clone(v.Targets), ZonesOut: maps.Clone(v.ZonesOut),
		Moves: maps.Clone(v.Moves), MoveStatuses: maps.Clone(v.MoveStatuses), Members: maps.Clone(v.Members),
		DutyHold: v.DutyHold, UsageClaim: v.UsageClaim,
	}
}

// View returns the current view, which must not be changed.
func (d *Directory) View() *catalog.View { return d.view.Load() }

// Age returns the time since the view was last known to be current, including
// time in which the host was suspended. It reports false before the first
// confirmation.
func (d *Directory) Age() (time.Duration, bool) {
	confirmedAt := d.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	return d.sinceBoot() - time.Duration(confirmedAt), true
}

// StoreDown reports whether the store is not responding.
func (d *Directory) StoreDown() bool { return d.down.Load() }

// errOutdated means that a response is from an earlier history of the store.
var errOutdated = errors.New("the response is from before the store was restored")

// readAll replaces the view with all items of the store.
func (d *Directory) readAll(ctx context.Context) error {
	requestedAt := d.sinceBoot()
	items, position, err := d.store.Range(ctx, "", "")
	d.recordResult(err)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordEra(position.Era)
	if position.Era < d.newestEra {
		d.log.Info("view not read", "era", position.Era, "cause", errOutdated.Error())
		return errOutdated
	}
	old, now, before := d.view.Load(), time.Now(), d.applied
	sameHistory := position.Era == before.Era
	if !sameHistory && before.Revision > 0 {
		d.beginHistory(position, now)
	}
	d.recordRecoveryRevision(position.Revision)
	view := emptyView()
	view.Config = old.Config
	for _, item := range items {
		d.applyItem(view, item, now)
	}
	if sameHistory {
		d.keepUnchanged(old, view)
	}
	d.keepMissingTargets(old, view, now)
	d.keepLost(old, view, now)
	d.history.reset(position)
	d.publish(view, position)
	d.confirm(requestedAt)
	d.log.Info("view read from the store", "items", len(items), "era", position.Era, "revision", position.Revision,
		"era_before", before.Era, "revision_before", before.Revision, "configuration", configVersion(view))
	return nil
}

// keepUnchanged keeps the values of unchanged targets and orders, since the
// remaining time of a cold target and of a move counts from when this process
// first saw them.
func (d *Directory) keepUnchanged(old, view *catalog.View) {
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

// keepMissingTargets keeps targets that are missing in the store shortly after it
// recovered from an outage: their entries may have expired in the outage, and the
// targets may write them again.
func (d *Directory) keepMissingTargets(old, view *catalog.View, now time.Time) {
	if now.Sub(d.recoveredAt) >= recoveryGrace {
		return
	}
	for id, target := range old.Targets {
		if _, ok := view.Targets[id]; !ok && !target.Leaving {
			view.Targets[id] = target
			d.pendingDeletions[id] = d.recoveredAt.Add(recoveryGrace)
		}
	}
}

// recordRecoveryRevision records the first revision that the store returns after
// an outage. The caller holds mu.
func (d *Directory) recordRecoveryRevision(revision int64) {
	if d.recoveredRevision == 0 {
		d.recoveredRevision = revision
	}
}

// deferDeletion delays the removal of a target whose entry may have expired in an
// outage, and reports whether it did.
func (d *Directory) deferDeletion(item platform.Item, view *catalog.View, now time.Time) bool {
	if !d.down.Load() && now.Sub(d.recoveredAt) >= recoveryGrace || d.recoveredRevision > 0 && item.Revision > d.recoveredRevision {
		return false
	}
	for id, target := range view.Targets {
		if strings.HasSuffix(item.Key, "/"+id) && !target.Leaving {
			d.pendingDeletions[id] = now.Add(recoveryGrace)
			return true
		}
	}
	return false
}

// applyItem decodes one item into a view. An item that can't be decoded is logged
// once per revision, unless there are too many of them.
func (d *Directory) applyItem(view *catalog.View, item platform.Item, now time.Time) {
	err := d.decoder.Decode(view, item, now)
	if _, id, ok := strings.Cut(item.Key, "/"); ok {
		delete(d.pendingDeletions, id) // the entry was written again, or its deletion is not deferred
	}
	if err == nil || item.Deleted {
		delete(d.unreadable, item.Key)
	}
	if err == nil {
		return
	}
	d.unreadableItems.Inc(1)
	if d.unreadable[item.Key] == item.Revision || !d.unreadableLimiter.Allow() {
		return
	}
	if _, known := d.unreadable[item.Key]; (known || len(d.unreadable) < maxUnreadable) && !item.Deleted {
		d.unreadable[item.Key] = item.Revision
	}
	d.log.Error(err, "decode item failed; item skipped", "key", item.Key, "revision", item.Revision, "skipped_so_far", d.unreadableItems.Count())
}

// publish makes a view the current one, without the targets whose removal is due. The
// caller holds mu.
func (d *Directory) publish(view *catalog.View, position platform.Position) {
	now := time.Now()
	for id, until := range d.pendingDeletions {
		if now.After(until) {
			delete(d.pendingDeletions, id)
			delete(view.Targets, id)
		}
	}
	if position.Era != d.applied.Era || position.Revision > d.applied.Revision {
		d.applied = position
		close(d.advanced)
		d.advanced = make(chan struct{})
	}
	view.Era = d.applied.Era
	d.recordDepartures(d.view.Load(), view, now)
	d.logChanges(d.view.Load(), view)
	d.view.Store(view)
	d.onChange(view)
}

// Expire removes targets whose entries were not written again after an outage, and reads
// the store anew once what a restore lost had time to be written again.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.history.trim(now)
	d.endRestore(now)
	for _, until := range d.pendingDeletions {
		if now.After(until) {
			d.publish(copyView(d.view.Load()), d.applied)
			return
		}
	}
}

// confirm records that the view was current at asOf, a time by sinceBoot.
func (d *Directory) confirm(asOf time.Duration) {
	for {
		old := d.confirmedAt.Load()
		if int64(asOf) <= old || d.confirmedAt.CompareAndSwap(old, int64(asOf)) {
			return
		}
	}
}

// recordResult counts a call and updates, by its error, whether the store is down.
func (d *Directory) recordResult(err error) {
	d.calls.Inc(1)
	reachable := err == nil || errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrConflict)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reachable {
		d.failedCalls.Inc(1)
		if !d.down.Load() && now.Sub(d.lastSuccess) > outageAfter {
			d.down.Store(true)
			d.log.Error(err, "store unreachable", "silent_ms", now.Sub(d.lastSuccess).Milliseconds())
		}
		return
	}
	d.recordReachable(now)
}

// recordReachable records that the store responded at a time. The caller holds mu.
func (d *Directory) recordReachable(at time.Time) {
	if d.down.Load() {
		d.down.Store(false)
		d.recoveredAt, d.recoveredRevision = time.Now(), 0
		d.log.Info("store reachable again", "away_ms", at.Sub(d.lastSuccess).Milliseconds())
	}
	d.lastSuccess = at
}

func configVersion(v *catalog.View) int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}
