package platform

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// Faults are the faults of the stand-in that can be switched on.
type Faults struct {
	// Down makes every call fail, waiting watches included.
	Down bool
	// Slow is the time that every call takes before it does anything.
	Slow time.Duration
	// LoseWriteAnswers lets writes take effect and then fail.
	LoseWriteAnswers bool
	// SilentWatches keeps watches from ever returning before their context ends.
	SilentWatches bool
	// HostListLag is how old the host list is.
	HostListLag time.Duration
}

// Calls counts calls to the stand-in. A waiting watch is one read.
type Calls struct {
	Reads  uint64
	Writes uint64
}

// Total returns the number of calls of both sorts.
func (c Calls) Total() uint64 { return c.Reads + c.Writes }

type callSort int

const (
	readCall callSort = iota
	writeCall
)

// SetFaults replaces the faults of the stand-in.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wakeLocked()
}

// ExpireLeases lets all leases lapse now.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, state := range m.leases {
		state.expires = now
		m.leases[name] = state
	}
}

// Calls returns the calls counted since the start, failed ones included.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// begin counts a call and suffers the faults that come before its effect.
func (m *Memory) begin(ctx context.Context, sort callSort) error {
	m.mu.Lock()
	if sort == writeCall {
		m.calls.Writes++
	} else {
		m.calls.Reads++
	}
	slow := m.faults.Slow
	m.mu.Unlock()
	if err := sleep(ctx, slow); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return ErrUnavailable
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// Link is one process's way to a platform, which can be cut without a change
// for other processes.
type Link struct {
	to  Platform
	cut atomic.Bool
}

var _ Platform = (*Link)(nil)

// NewLink returns a link that is not cut.
func NewLink(to Platform) *Link { return &Link{to: to} }

// SetCut cuts the link or mends it. Watches that wait go on waiting.
func (l *Link) SetCut(cut bool) { l.cut.Store(cut) }

func (l *Link) err() error {
	if l.cut.Load() {
		return fmt.Errorf("%w: link cut", ErrUnavailable)
	}
	return nil
}

// Get implements KV.
func (l *Link) Get(ctx context.Context, key string) (Entry, error) {
	if err := l.err(); err != nil {
		return Entry{}, err
	}
	return l.to.Get(ctx, key)
}

// CompareAndSwap implements KV.
func (l *Link) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if err := l.err(); err != nil {
		return false, 0, err
	}
	return l.to.CompareAndSwap(ctx, key, expected, value)
}

// Delete implements KV.
func (l *Link) Delete(ctx context.Context, key string, expected uint64) (bool, error) {
	if err := l.err(); err != nil {
		return false, err
	}
	return l.to.Delete(ctx, key, expected)
}

// Watch implements KV. What a cut link's watch saw is lost.
func (l *Link) Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
	if err := l.err(); err != nil {
		return Entry{}, err
	}
	entry, err := l.to.Watch(ctx, key, after, timeout)
	if cut := l.err(); cut != nil {
		return Entry{}, cut
	}
	return entry, err
}

// Acquire implements Leases.
func (l *Link) Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error) {
	if err := l.err(); err != nil {
		return Lease{}, err
	}
	return l.to.Acquire(ctx, lease, holder, ttl)
}

// Hosts implements Hosts.
func (l *Link) Hosts(ctx context.Context) ([]Host, error) {
	if err := l.err(); err != nil {
		return nil, err
	}
	return l.to.Hosts(ctx)
}

// TakeLoadPermit implements WeightStore.
func (l *Link) TakeLoadPermit(ctx context.Context, version string) (time.Duration, error) {
	if err := l.err(); err != nil {
		return 0, err
	}
	return l.to.TakeLoadPermit(ctx, version)
}
