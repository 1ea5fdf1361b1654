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
)

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Change is the result of a watch.
type Change struct {
	Items []Item
	// Revision is the revision to continue from.
	Revision int64
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
}

// Store is a key-value service with one revision counter, range reads, prefix
// watches and transactions.
type Store interface {
	// Range returns all items of a prefix whose key is after the given one, and
	// the store's revision. It reads in pages, which together are not a snapshot.
	Range(ctx context.Context, prefix, after string) ([]Item, int64, error)
	// Watch waits until a key under the prefix changes after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Change, error)
	// Commit writes and removes keys if all conditions hold, and returns the
	// revision of the transaction.
	Commit(ctx context.Context, conditions []Condition, writes []Write, removes []string) (int64, error)
}
