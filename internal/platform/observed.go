package platform

import (
	"context"
	"sync"
	"time"
)

// Observed forwards calls to a platform and reports when the platform becomes
// unavailable or available for this process.
type Observed struct {
	next     Platform
	onChange func(up bool, err error)

	mu   sync.Mutex
	down bool
}

// NewObserved returns a platform that calls onChange at each change of
// availability. A platform counts as up until a call fails. Failed calls whose
// context is done are ignored, since their caller has given up.
func NewObserved(next Platform, onChange func(up bool, err error)) *Observed {
	return &Observed{next: next, onChange: onChange}
}

// record updates the availability from the result of a call.
func (o *Observed) record(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if down := err != nil; down != o.down {
		o.down = down
		o.onChange(!down, err)
	}
}

// Get implements KV.
func (o *Observed) Get(ctx context.Context, key string) (Entry, error) {
	entry, err := o.next.Get(ctx, key)
	o.record(ctx, err)
	return entry, err
}

// CompareAndSwap implements KV.
func (o *Observed) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	swapped, revision, err := o.next.CompareAndSwap(ctx, key, expected, value)
	if len(value) <= MaxValueBytes {
		o.record(ctx, err)
	}
	return swapped, revision, err
}

// Delete implements KV.
func (o *Observed) Delete(ctx context.Context, key string, expected uint64) (bool, error) {
	deleted, err := o.next.Delete(ctx, key, expected)
	o.record(ctx, err)
	return deleted, err
}

// Watch implements KV.
func (o *Observed) Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
	entry, err := o.next.Watch(ctx, key, after, timeout)
	o.record(ctx, err)
	return entry, err
}

// Acquire implements Leases.
func (o *Observed) Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error) {
	state, err := o.next.Acquire(ctx, lease, holder, ttl)
	o.record(ctx, err)
	return state, err
}

// Hosts implements Hosts.
func (o *Observed) Hosts(ctx context.Context) ([]Host, error) {
	hosts, err := o.next.Hosts(ctx)
	o.record(ctx, err)
	return hosts, err
}

// TakeLoadPermit implements WeightStore.
func (o *Observed) TakeLoadPermit(ctx context.Context, version string) (time.Duration, error) {
	wait, err := o.next.TakeLoadPermit(ctx, version)
	o.record(ctx, err)
	return wait, err
}
