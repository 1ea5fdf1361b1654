// Package platform holds the ports to what the platform gives: a small
// key-value service with compare-and-swap, leases and watches, a lagging list
// of hosts, and a rate-limited weight store. Each adapter is one file, so that
// a change of the platform's protocol touches one file.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Errors of the ports. Every other error means that the platform could not be
// reached and that nothing is known of a write's effect.
var (
	// ErrUnavailable means that the platform did not answer. A write may have
	// taken effect all the same.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a value is over MaxValueBytes; nothing was written.
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
	// CompareAndSwap writes a key whose revision is expected, where 0 means that
	// the key must not exist. It reports whether the write took effect and the
	// revision after the call.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error)
	// Delete removes a key whose revision is expected.
	Delete(ctx context.Context, key string, expected uint64) (bool, error)
	// Watch waits until the key's revision is above after, or for timeout, and
	// returns the key as it then is; the value may be missing where the revision
	// is not above after. A waiting watch counts as one call.
	Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error)
}

// Lease is the state of a lease after a call to Acquire.
type Lease struct {
	// Held says whether the caller holds the lease.
	Held bool
	// FencingNumber rises each time that the holder changes.
	FencingNumber uint64
	// Remaining is the time that the present holder has left.
	Remaining time.Duration
}

// Leases is the lease service.
type Leases interface {
	// Acquire takes a lease that is free or renews the caller's own.
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

// Hosts is the platform's list of hosts, which lags.
type Hosts interface {
	// Hosts returns live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the rate-limited weight store.
type WeightStore interface {
	// TakeLoadPermit returns how long to wait before loading a version.
	TakeLoadPermit(ctx context.Context, version string) (time.Duration, error)
}

// Platform is all that the platform gives.
type Platform interface {
	KV
	Leases
	Hosts
	WeightStore
}
