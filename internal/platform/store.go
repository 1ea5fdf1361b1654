package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store besides ErrUnavailable.
var (
	// ErrCompacted means that the history after a revision is gone.
	ErrCompacted = errors.New("history is gone")
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

// Change is what a watch saw.
type Change struct {
	Items []Item
	// Revision is the revision to continue from.
	Revision int64
}

// Condition says that a key has a revision; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write is one key to be written.
type Write struct {
	Key   string
	Value []byte
}

// Store is a key-value service with one revision counter, ranges, watches of
// prefixes and transactions.
type Store interface {
	// Range returns all items of a prefix whose key comes after the given one,
	// and the store's revision. Its pages are no snapshot.
	Range(ctx context.Context, prefix, after string) ([]Item, int64, error)
	// Watch waits until something under the prefix changed after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Change, error)
	// Commit writes and removes keys if all conditions hold, and returns the
	// revision of the change.
	Commit(ctx context.Context, conditions []Condition, writes []Write, removes []string) (int64, error)
}
