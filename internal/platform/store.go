package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store besides ErrUnavailable.
var (
	// ErrCompacted means that the history after a revision has been compacted.
	ErrCompacted = errors.New("history has been compacted")
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("condition does not hold")
	// ErrNoLease means that a lease does not exist, or has ended.
	ErrNoLease = errors.New("no such lease")
)

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Position is a point in a history of the store.
type Position struct {
	// Era numbers the store's histories. It rises each time the store returns from an
	// older copy. Revisions of different eras can't be compared.
	Era      int64
	Revision int64
}

// Change is the result of a watch.
type Change struct {
	Items []Item
	// Position is the position to continue from.
	Position Position
}

// Condition requires a key to have a revision; 0 means that the key must not
// exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write is one write of a transaction.
type Write struct {
	Key   string
	Value []byte
	// LeaseID is the lease at whose end the key is removed; 0 for none.
	LeaseID int64
}

// LeaseStore grants leases. A lease runs from the arrival of the call that granted or renewed
// it; while the store is down leases may pause or expire.
type LeaseStore interface {
	// GrantLease grants a lease and returns its ID and the time that it runs.
	GrantLease(ctx context.Context, ttl time.Duration) (id int64, granted time.Duration, err error)
	// RenewLease renews a lease. The error wraps ErrNoLease if it has ended.
	RenewLease(ctx context.Context, id int64) error
	// EndLease ends a lease, which removes its keys.
	EndLease(ctx context.Context, id int64) error
}

// Store is a key-value service with one revision counter, range reads, prefix
// watches and transactions.
type Store interface {
	// Range returns all items of a prefix whose key is after the given one, and
	// the store's position. It reads in pages, which together are not a snapshot.
	Range(ctx context.Context, prefix, after string) ([]Item, Position, error)
	// Watch waits until a key under the prefix changes after a position.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) (Change, error)
	// Commit writes and removes keys if all conditions hold, and returns the
	// position of the transaction.
	Commit(ctx context.Context, conditions []Condition, writes []Write, removes []string) (Position, error)
}
