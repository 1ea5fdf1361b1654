package platform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// DefaultLoadInterval is the default time between two load permits of the
// stand-in's weight store.
const DefaultLoadInterval = time.Second

// Memory is an in-memory stand-in for the platform. It reads the clock from
// package time, so that tests can run it under fake time, and can simulate
// faults. It is safe for concurrent use.
type Memory struct {
	mu                sync.Mutex
	entries           map[string]Entry
	revision          uint64
	leases            map[string]leaseState
	lastFencingNumber uint64
	hostChanges       []hostChange
	nextLoad          time.Time
	loadInterval      time.Duration
	faults            Faults
	calls             Calls
	changed           chan struct{}
}

type leaseState struct {
	holder        string
	fencingNumber uint64
	expires       time.Time
}

type hostChange struct {
	at      time.Time
	host    Host
	removed bool
}

var _ Platform = (*Memory)(nil)

// NewMemory returns an empty stand-in without faults.
func NewMemory() *Memory {
	return &Memory{
		entries:      make(map[string]Entry),
		leases:       make(map[string]leaseState),
		loadInterval: DefaultLoadInterval,
		changed:      make(chan struct{}),
	}
}

// Get implements KV.
func (m *Memory) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.begin(ctx, readCall); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key], nil
}

// CompareAndSwap implements KV.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if len(value) > MaxValueBytes {
		return false, 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(value))
	}
	return m.write(ctx, key, expected, func() {
		m.entries[key] = Entry{Value: slices.Clone(value), Revision: m.revision}
	})
}

// Delete implements KV.
func (m *Memory) Delete(ctx context.Context, key string, expected uint64) (bool, error) {
	swapped, _, err := m.write(ctx, key, expected, func() { delete(m.entries, key) })
	return swapped, err
}

// write calls apply if the key's revision is expected. Under the fault
// LoseWriteAnswers it returns an error whether or not the write took effect.
func (m *Memory) write(ctx context.Context, key string, expected uint64, apply func()) (bool, uint64, error) {
	if err := m.begin(ctx, writeCall); err != nil {
		return false, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	swapped := m.entries[key].Revision == expected
	if swapped {
		m.revision++
		apply()
		m.wakeWatchesLocked()
	}
	if m.faults.LoseWriteAnswers {
		return false, 0, fmt.Errorf("%w: answer lost", ErrUnavailable)
	}
	return swapped, m.entries[key].Revision, nil
}

// Watch implements KV.
func (m *Memory) Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
	if err := m.begin(ctx, readCall); err != nil {
		return Entry{}, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		m.mu.Lock()
		entry, faults, changed := m.entries[key], m.faults, m.changed
		m.mu.Unlock()
		switch {
		case faults.SilentWatches:
			<-ctx.Done()
			return Entry{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case faults.Down:
			return Entry{}, ErrUnavailable
		case entry.Revision > after:
			return entry, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return Entry{Revision: entry.Revision}, nil
		case <-ctx.Done():
			return Entry{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

// Acquire implements Leases.
func (m *Memory) Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error) {
	if err := m.begin(ctx, writeCall); err != nil {
		return Lease{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	state := m.leases[lease]
	if state.holder != holder && now.Before(state.expires) {
		return Lease{FencingNumber: state.fencingNumber, Remaining: state.expires.Sub(now)}, nil
	}
	// A holder whose lease expired gets a new number as well, since another
	// process may have held the lease in between.
	if state.holder != holder || !now.Before(state.expires) {
		m.lastFencingNumber++
		state.fencingNumber = m.lastFencingNumber
	}
	state.holder, state.expires = holder, now.Add(ttl)
	m.leases[lease] = state
	if m.faults.LoseWriteAnswers {
		return Lease{}, fmt.Errorf("%w: answer lost", ErrUnavailable)
	}
	return Lease{Held: true, FencingNumber: state.fencingNumber, Remaining: ttl}, nil
}

// Hosts implements Hosts. The list is stale by the fault HostListLag.
func (m *Memory) Hosts(ctx context.Context) ([]Host, error) {
	if err := m.begin(ctx, readCall); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	asOf := time.Now().Add(-m.faults.HostListLag)
	byName := make(map[string]Host)
	for _, c := range m.hostChanges {
		if c.at.After(asOf) {
			break
		}
		if c.removed {
			delete(byName, c.host.Name)
			continue
		}
		byName[c.host.Name] = c.host
	}
	hosts := make([]Host, 0, len(byName))
	for _, h := range byName {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts, nil
}

// SetHost adds a host to the list or replaces the one of the same name.
func (m *Memory) SetHost(h Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hostChanges = append(m.hostChanges, hostChange{at: time.Now(), host: h})
}

// RemoveHost removes a host from the list.
func (m *Memory) RemoveHost(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hostChanges = append(m.hostChanges, hostChange{at: time.Now(), host: Host{Name: name}, removed: true})
}

// TakeLoadPermit implements WeightStore. It permits one load per interval, in
// the order of the calls.
func (m *Memory) TakeLoadPermit(ctx context.Context, _ string) (time.Duration, error) {
	if err := m.begin(ctx, writeCall); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.nextLoad.Before(now) {
		m.nextLoad = now
	}
	wait := m.nextLoad.Sub(now)
	m.nextLoad = m.nextLoad.Add(m.loadInterval)
	return wait, nil
}

// SetLoadInterval sets the time between two load permits.
func (m *Memory) SetLoadInterval(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadInterval = d
}

// wakeWatchesLocked wakes all watches, which then check their key again.
// The caller holds m.mu.
func (m *Memory) wakeWatchesLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}
