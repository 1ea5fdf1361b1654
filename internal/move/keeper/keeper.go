// Package keeper commits the records of moves to the platform's key-value
// service, and reads them for operators.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

const (
	// keyPrefix is the prefix of the keys of records.
	keyPrefix = "moves/"
	// leasePrefix is the prefix of the names of writer leases.
	leasePrefix = "move-writer/"
	// LeaseTTL is how long a writer lease lasts. It is acquired only to write.
	LeaseTTL = 10 * time.Second
	// RetryInterval is the minimum time between two attempts to reach the platform
	// for one move, so that the number of calls is bounded by the number of moves.
	RetryInterval = time.Second
	// LevelWriteInterval is the minimum time between two writes that change only
	// the level.
	LevelWriteInterval = 10 * time.Second
)

// ErrNotHolder is returned if another process holds the writer lease or has
// written the record.
var ErrNotHolder = errors.New("another process writes the record")

// Store is the part of the platform that a keeper uses.
type Store interface {
	platform.KV
	platform.Leases
}

// Key returns the key of a move's record.
func Key(moveName string) string { return keyPrefix + moveName }

// Keeper writes the record of one move. The lease keeps two processes from
// writing alternately. A paused holder cannot overwrite a newer record, because
// every write is conditional on the revision that the decision was based on. A
// Keeper is not safe for concurrent use.
type Keeper struct {
	store       Store
	holder      string
	declaration move.Declaration

	committed   *zinniaquayv1.MoveRecord
	revision    uint64
	loaded      bool
	lastAttempt time.Time
	lastWrite   time.Time
}

// New returns a keeper. holder is unique to one incarnation of a process.
func New(store Store, holder string, d move.Declaration) *Keeper {
	return &Keeper{store: store, holder: holder, declaration: d}
}

// Committed returns the record as last read or written, or nil if it was never
// read or there is none. It must not be changed.
func (k *Keeper) Committed() *zinniaquayv1.MoveRecord { return k.committed }

// Due reports whether Commit has something to do. The platform is called at
// most once per RetryInterval.
func (k *Keeper) Due(p move.Progress, now time.Time) bool {
	if !k.lastAttempt.IsZero() && now.Sub(k.lastAttempt) < RetryInterval {
		return false
	}
	if !k.loaded {
		return true
	}
	next, differs := move.NextRecord(k.declaration, k.committed, p)
	changedState := next.GetState() != k.committed.GetState()
	return differs && (changedState || now.Sub(k.lastWrite) >= LevelWriteInterval)
}

// Commit reads the record if it is not loaded, and writes the record that
// follows from it. After a write that did not take effect, or whose effect is
// unknown, the next Commit reads the record again.
func (k *Keeper) Commit(ctx context.Context, p move.Progress, now time.Time) error {
	k.lastAttempt = now
	if !k.loaded {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	next, differs := move.NextRecord(k.declaration, k.committed, p)
	if !differs {
		return nil
	}
	lease, err := k.store.Acquire(ctx, leasePrefix+k.declaration.Name, k.holder, LeaseTTL)
	if err != nil {
		return fmt.Errorf("acquire the writer lease of move %q: %w", k.declaration.Name, err)
	}
	if !lease.Held {
		k.loaded = false
		return ErrNotHolder
	}
	if lease.FencingNumber < k.committed.GetFencingNumber() {
		k.loaded = false
		return fmt.Errorf("fencing number %d is lower than the record's %d: %w",
			lease.FencingNumber, k.committed.GetFencingNumber(), ErrNotHolder)
	}
	next.FencingNumber = lease.FencingNumber
	next.Written = timestamppb.New(now)
	return k.write(ctx, next, now)
}

func (k *Keeper) read(ctx context.Context) error {
	entry, err := k.store.Get(ctx, Key(k.declaration.Name))
	if err != nil {
		return fmt.Errorf("read the record of move %q: %w", k.declaration.Name, err)
	}
	record, err := decode(entry)
	if err != nil {
		return err
	}
	k.committed, k.revision, k.loaded = record, entry.Revision, true
	return nil
}

func (k *Keeper) write(ctx context.Context, next *zinniaquayv1.MoveRecord, now time.Time) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the record of move %q: %w", next.GetMove(), err)
	}
	k.loaded = false
	swapped, revision, err := k.store.CompareAndSwap(ctx, Key(next.GetMove()), k.revision, value)
	if err != nil {
		return fmt.Errorf("write the record of move %q: %w", next.GetMove(), err)
	}
	if !swapped {
		return fmt.Errorf("record of move %q changed since it was read: %w", next.GetMove(), ErrNotHolder)
	}
	k.committed, k.revision, k.loaded, k.lastWrite = next, revision, true, now
	return nil
}

// decode decodes a record. It returns nil for a key that does not exist.
func decode(e platform.Entry) (*zinniaquayv1.MoveRecord, error) {
	if e.Revision == 0 {
		return nil, nil
	}
	record := &zinniaquayv1.MoveRecord{}
	if err := proto.Unmarshal(e.Value, record); err != nil {
		return nil, fmt.Errorf("decode the record of a move: %w", err)
	}
	return record, nil
}
