package directory

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// errHistoryEnded means that changes can't be applied to the view any more, since the
// store's history was compacted or replaced.
var errHistoryEnded = errors.New("the view can't be continued from its position")

// Follow keeps the view up to date until the context ends.
func (d *Directory) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		if err := d.readAll(ctx); err == nil {
			d.watch(ctx)
		}
		if time.Since(started) < retryDelay {
			wait.For(ctx, retryDelay)
		}
	}
}

// watch applies changes until the store's history is compacted or replaced, or the
// periodic check finds the watch stalled.
func (d *Directory) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-d.resyncRequests:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		changed, err := d.watchOnce(ctx)
		switch {
		case ctx.Err() != nil || errors.Is(err, errHistoryEnded):
			return
		case err != nil:
			wait.For(ctx, retryDelay)
		case changed:
			d.pauseAfterChange(ctx)
		}
	}
}

// watchOnce waits for changes and applies them. It reports whether there were any.
func (d *Directory) watchOnce(ctx context.Context) (changed bool, err error) {
	d.mu.Lock()
	after := d.applied
	d.mu.Unlock()
	watcher, found := d.watchers.choose(d.View())
	if found {
		changed, err = d.watchPeer(ctx, watcher, after)
		if err == nil || ctx.Err() != nil || errors.Is(err, errHistoryEnded) {
			return changed, err
		}
		d.log.Info("changes of the store can't be taken from a member", "member", watcher.Name, "cause", err.Error())
		d.watchers.suspend(watcher.Name)
		request(d.checkRequests)
	}
	return d.watchStore(ctx, after, d.watchers.watchTimeout(d.View()))
}

// watchStore waits for changes in the store and applies them.
func (d *Directory) watchStore(ctx context.Context, after platform.Position, timeout time.Duration) (changed bool, err error) {
	change, err := d.store.Watch(ctx, "", after, timeout)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	d.recordResult(err)
	if errors.Is(err, platform.ErrCompacted) {
		d.log.Info("store history is compacted", "era", after.Era, "after", after.Revision)
		return false, errHistoryEnded
	}
	if err != nil {
		return false, err
	}
	if !d.apply(change) {
		return false, errHistoryEnded
	}
	return len(change.Items) > 0, nil
}

// watchPeer waits for changes at another process and applies them. The view is then
// current as of the time at which the other one's view was.
func (d *Directory) watchPeer(ctx context.Context, m catalog.Member, after platform.Position) (changed bool, err error) {
	requestedAt := d.sinceBoot()
	change, err := d.watchers.peers.Changes(ctx, m, after, d.timing.pollWait)
	if err != nil {
		return false, err
	}
	if err := d.checkPeerChange(change, after); err != nil {
		return false, err
	}
	asOf := requestedAt + change.Confirmed
	age := d.sinceBoot() - asOf
	if age >= d.timing.checkInterval || change.StoreDown {
		return false, errPeerOutdated
	}
	if change.Position != after && !d.apply(change.Change) {
		return false, errHistoryEnded
	}
	d.confirm(asOf)
	d.mu.Lock()
	defer d.mu.Unlock()
	if reachedAt := time.Now().Add(-age); reachedAt.After(d.lastSuccess) {
		d.recordReachable(reachedAt)
	}
	return len(change.Items) > 0, nil
}

// checkPeerChange returns an error if a peer's changes don't continue a position.
func (d *Directory) checkPeerChange(change PeerChange, after platform.Position) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordEra(change.Position.Era)
	switch {
	case change.Position.Era > after.Era:
		return errHistoryEnded
	case change.Position.Era < d.newestEra || change.Position.Revision < after.Revision:
		return errPeerOutdated
	}
	return nil
}

// pauseAfterChange waits for further changes to gather, unless a check finds the view
// behind the store.
func (d *Directory) pauseAfterChange(ctx context.Context) {
	timer := time.NewTimer(d.timing.batchInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.watchRequests:
	case <-ctx.Done():
	}
}

// apply applies the changes of a watch to the view. It reports false if they belong to
// another history of the store than the view.
func (d *Directory) apply(change platform.Change) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordEra(change.Position.Era)
	if change.Position.Era != d.applied.Era {
		return false
	}
	old, now := d.view.Load(), time.Now()
	view := copyView(old)
	d.recordRecoveryRevision(change.Position.Revision)
	for _, item := range change.Items {
		if item.Deleted && d.deferDeletion(item, view, now) {
			continue
		}
		d.applyItem(view, item, now)
	}
	d.keepMoves(old, view, now)
	d.history.add(change.Items, now)
	d.publish(view, change.Position)
	return true
}
