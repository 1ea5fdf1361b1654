// Package platform defines the interfaces to the services of the platform: a
// small key-value service with compare-and-swap, leases and watches, a host list
// that may be stale, and a rate-limited weight store. Each adapter is one file,
// so that a change of the platform's protocol affects only one file.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// Errors of the interfaces. Every other error means that the platform could not
// be reached and that it is unknown whether a write took effect.
var (
	// ErrUnavailable means that the platform did not respond. A write may still
	// have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a value exceeds MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("value too large")
)

// Entry is a key's value and revision. Revision 0 means that the key does not
// exist.
type Entry struct {
	Value    []byte
	Revision uint64
}

// KV is the key-value service.
type KV interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision is expected; 0 means that the
	// key must not exist. It reports whether the write took effect, and returns
	// the key's revision after the call.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error)
	// Delete removes a key if its revision is expected, and reports whether it
	// did.
	Delete(ctx context.Context, key string, expected uint64) (bool, error)
	// Watch waits until the key's revision is above after or the timeout expires,
	// and returns the key's current state. The value may be missing if the
	// revision is not above after. A watch counts as one call, however long it
	// waits.
	Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error)
}

// Lease is the state of a lease after a call to Acquire.
type Lease struct {
	// Held is true if the caller holds the lease.
	Held bool
	// FencingNumber increases each time that the holder changes or a holder
	// reacquires an expired lease.
	FencingNumber uint64
	// Remaining is the time until the current holder's lease expires.
	Remaining time.Duration
}

// Leases is the lease service.
type Leases interface {
	// Acquire acquires a free lease or renews the caller's own.
	Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error)
}

// Host is one host in the platform's list.
type Host struct {
	Name    string
	Addr    string
	Zone    string
	Role    string
	Leaving bool
}

// Hosts is the platform's list of hosts, which may be stale.
type Hosts interface {
	// Hosts returns live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the rate-limited weight store.
type WeightStore interface {
	// TakeLoadPermit returns how long to wait before loading a version.
	TakeLoadPermit(ctx context.Context, version string) (time.Duration, error)
}

// Platform combines all services of the platform.
type Platform interface {
	KV
	Leases
	Hosts
	WeightStore
}
