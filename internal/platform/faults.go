package platform

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// Faults are the faults that the stand-in can simulate.
type Faults struct {
	// Down makes every call fail, waiting watches included.
	Down bool
	// Slow is the delay before every call is processed.
	Slow time.Duration
	// LoseWriteAnswers makes writes fail after they have taken effect.
	LoseWriteAnswers bool
	// SilentWatches keeps watches from returning before their context is done.
	SilentWatches bool
	// HostListLag is the staleness of the host list.
	HostListLag time.Duration
}

// Calls counts calls to the stand-in. A waiting watch is one read.
type Calls struct {
	Reads  uint64
	Writes uint64
}

// Total returns the number of reads and writes.
func (c Calls) Total() uint64 { return c.Reads + c.Writes }

type callKind int

const (
	readCall callKind = iota
	writeCall
)

// SetFaults replaces the faults of the stand-in.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wakeWatchesLocked()
}

// ExpireLeases expires all leases now.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, state := range m.leases {
		state.expires = now
		m.leases[name] = state
	}
}

// Calls returns the number of calls since the start, including failed ones.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// begin counts a call and applies the faults that act before it takes effect.
func (m *Memory) begin(ctx context.Context, kind callKind) error {
	m.mu.Lock()
	if kind == writeCall {
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

// Link is one process's connection to a platform. It can be cut without
// affecting other processes.
type Link struct {
	next Platform
	cut  atomic.Bool
}

var _ Platform = (*Link)(nil)

// NewLink returns a link that is not cut.
func NewLink(next Platform) *Link { return &Link{next: next} }

// SetCut cuts or restores the link. Pending watches keep waiting.
func (l *Link) SetCut(cut bool) { l.cut.Store(cut) }

func (l *Link) cutError() error {
	if l.cut.Load() {
		return fmt.Errorf("%w: link cut", ErrUnavailable)
	}
	return nil
}

// Get implements KV.
func (l *Link) Get(ctx context.Context, key string) (Entry, error) {
	if err := l.cutError(); err != nil {
		return Entry{}, err
	}
	return l.next.Get(ctx, key)
}

// CompareAndSwap implements KV.
func (l *Link) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if err := l.cutError(); err != nil {
		return false, 0, err
	}
	return l.next.CompareAndSwap(ctx, key, expected, value)
}

// Delete implements KV.
func (l *Link) Delete(ctx context.Context, key string, expected uint64) (bool, error) {
	if err := l.cutError(); err != nil {
		return false, err
	}
	return l.next.Delete(ctx, key, expected)
}

// Watch implements KV. If the link is cut when a watch returns, its result is
// dropped.
func (l *Link) Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
	if err := l.cutError(); err != nil {
		return Entry{}, err
	}
	entry, err := l.next.Watch(ctx, key, after, timeout)
	if cutErr := l.cutError(); cutErr != nil {
		return Entry{}, cutErr
	}
	return entry, err
}

// Acquire implements Leases.
func (l *Link) Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error) {
	if err := l.cutError(); err != nil {
		return Lease{}, err
	}
	return l.next.Acquire(ctx, lease, holder, ttl)
}

// Hosts implements Hosts.
func (l *Link) Hosts(ctx context.Context) ([]Host, error) {
	if err := l.cutError(); err != nil {
		return nil, err
	}
	return l.next.Hosts(ctx)
}

// TakeLoadPermit implements WeightStore.
func (l *Link) TakeLoadPermit(ctx context.Context, version string) (time.Duration, error) {
	if err := l.cutError(); err != nil {
		return 0, err
	}
	return l.next.TakeLoadPermit(ctx, version)
}
