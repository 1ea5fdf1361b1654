package platform

import (
	"context"
	"sync"
	"time"
)

// Observed passes calls on and tells when the platform stops or begins to
// answer, as this process sees it.
type Observed struct {
	to      Platform
	changed func(up bool, err error)

	mu   sync.Mutex
	down bool
}

// NewObserved returns a platform that calls changed at each change. A platform
// counts as up until it fails to answer. Calls that their caller gave up say
// nothing of it.
func NewObserved(to Platform, changed func(up bool, err error)) *Observed {
	return &Observed{to: to, changed: changed}
}

// note takes in the outcome of a call.
func (o *Observed) note(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if down := err != nil; down != o.down {
		o.down = down
		o.changed(!down, err)
	}
}

// Get implements KV.
func (o *Observed) Get(ctx context.Context, key string) (Entry, error) {
	entry, err := o.to.Get(ctx, key)
	o.note(ctx, err)
	return entry, err
}

// CompareAndSwap implements KV.
func (o *Observed) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	swapped, revision, err := o.to.CompareAndSwap(ctx, key, expected, value)
	if len(value) <= MaxValueBytes {
		o.note(ctx, err)
	}
	return swapped, revision, err
}

// Delete implements KV.
func (o *Observed) Delete(ctx context.Context, key string, expected uint64) (bool, error) {
	deleted, err := o.to.Delete(ctx, key, expected)
	o.note(ctx, err)
	return deleted, err
}

// Watch implements KV.
func (o *Observed) Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
	entry, err := o.to.Watch(ctx, key, after, timeout)
	o.note(ctx, err)
	return entry, err
}

// Acquire implements Leases.
func (o *Observed) Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error) {
	state, err := o.to.Acquire(ctx, lease, holder, ttl)
	o.note(ctx, err)
	return state, err
}

// Hosts implements Hosts.
func (o *Observed) Hosts(ctx context.Context) ([]Host, error) {
	hosts, err := o.to.Hosts(ctx)
	o.note(ctx, err)
	return hosts, err
}

// TakeLoadPermit implements WeightStore.
func (o *Observed) TakeLoadPermit(ctx context.Context, version string) (time.Duration, error) {
	wait, err := o.to.TakeLoadPermit(ctx, version)
	o.note(ctx, err)
	return wait, err
}
