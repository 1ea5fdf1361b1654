package directory

import (
	"context"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Check confirms the view whenever it is due until the context ends. A watch without
// changes may have stalled and does not confirm the view; a response with the
// store's revision does.
func (d *Directory) Check(ctx context.Context) {
	for d.waitUntilCheckDue(ctx) {
		if !d.check(ctx) && !wait.For(ctx, checkRetryInterval) {
			return
		}
	}
}

// waitUntilCheckDue waits until the view is old enough to be checked. It reports false if
// the context ends first.
func (d *Directory) waitUntilCheckDue(ctx context.Context) bool {
	timer := time.NewTimer(d.untilCheck())
	defer timer.Stop()
	for ctx.Err() == nil {
		due := d.untilCheck()
		if due <= 0 {
			return true
		}
		timer.Reset(due)
		select {
		case <-timer.C:
		case <-d.checkRequests:
		case <-ctx.Done():
		}
	}
	return false
}

// untilCheck returns the time until the view is to be checked. A view that was never
// confirmed is read first.
func (d *Directory) untilCheck() time.Duration {
	age, known := d.Age()
	switch {
	case !known:
		return d.timing.checkInterval
	case d.hasFollowers():
		return d.timing.watcherInterval - age
	}
	return d.timing.checkInterval - age
}

// check compares the view with the store, and reports whether it confirmed the view. It
// has the store read again if the watch lags.
func (d *Directory) check(ctx context.Context) bool {
	requestedAt := d.sinceBoot()
	_, position, err := d.store.Range(ctx, d.layout.OperatorPrefix, d.layout.LargeItemKey)
	d.recordResult(err)
	if err != nil {
		return false
	}
	d.mu.Lock()
	d.recordRecoveryRevision(position.Revision)
	d.recordEra(position.Era)
	outdated := position.Era < d.newestEra
	d.mu.Unlock()
	if outdated {
		d.log.Info("check ignored", "era", position.Era, "cause", errOutdated.Error())
		return false
	}
	if reached, _ := d.reached(position); !reached {
		request(d.watchRequests)
	}
	if d.waitForPosition(ctx, position, maxWatchLag) {
		d.confirm(requestedAt)
		return true
	}
	d.log.Info("watch lags behind the store", "era", position.Era, "revision", position.Revision)
	d.requestResync()
	return false
}

// request leaves a value in a channel of capacity 1 unless there is one already.
func request(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// requestResync has the whole store read again.
func (d *Directory) requestResync() { request(d.resyncRequests) }

// waitForPosition waits up to a time limit for the view to contain all changes up to a
// position, and reports whether it does. It does not wait for another era.
func (d *Directory) waitForPosition(ctx context.Context, position platform.Position, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		reached, advanced := d.reached(position)
		if reached || advanced == nil {
			return reached
		}
		select {
		case <-advanced:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// reached reports whether the view contains all changes up to a position. If it may come to,
// advanced is closed when the view advances.
func (d *Directory) reached(position platform.Position) (reached bool, advanced <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.applied.Era != position.Era {
		return false, nil
	}
	return d.applied.Revision >= position.Revision, d.advanced
}
