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
	// keyPrefix is the beginning of the keys of records.
	keyPrefix = "moves/"
	// leasePrefix is the beginning of the names of the writers' leases.
	leasePrefix = "move-writer/"
	// LeaseTTL is how long a writer's lease lasts. It is taken only to write.
	LeaseTTL = 10 * time.Second
	// RetryInterval is the least time between two tries to reach the platform
	// for one move, so that calls are bounded by the number of moves.
	RetryInterval = time.Second
	// LevelInterval is the least time between two writes that only note a level.
	LevelInterval = 10 * time.Second
)

// ErrNotHolder means that another process holds the writer's lease.
var ErrNotHolder = errors.New("another process writes the record")

// Store is the part of the platform that a keeper uses.
type Store interface {
	platform.KV
	platform.Leases
}

// Key returns the key of a move's record.
func Key(moveName string) string { return keyPrefix + moveName }

// Keeper writes the record of one move. The lease keeps two processes from
// writing in turns; what keeps a paused holder from harm is that every write is
// conditional on the revision that the decision was made on. It is not safe for
// concurrent use.
type Keeper struct {
	store       Store
	holder      string
	declaration move.Declaration

	committed *zinniaquayv1.MoveRecord
	revision  uint64
	known     bool
	tried     time.Time
	written   time.Time
}

// New returns a keeper. Holder is unique to one incarnation of a process.
func New(store Store, holder string, d move.Declaration) *Keeper {
	return &Keeper{store: store, holder: holder, declaration: d}
}

// Committed returns the record as last read or written, or nil if it was never
// read or there is none. It must not be changed.
func (k *Keeper) Committed() *zinniaquayv1.MoveRecord { return k.committed }

// Due reports whether Commit has something to do. The platform is asked at most
// once a RetryInterval.
func (k *Keeper) Due(p move.Progress, now time.Time) bool {
	if !k.tried.IsZero() && now.Sub(k.tried) < RetryInterval {
		return false
	}
	if !k.known {
		return true
	}
	next, differs := move.NextRecord(k.declaration, k.committed, p)
	changedState := next.GetState() != k.committed.GetState()
	return differs && (changedState || now.Sub(k.written) >= LevelInterval)
}

// Commit reads the record if it is not known and writes the one that follows
// from it. A write that did not take effect, or whose effect is not known, makes
// the next Commit read again.
func (k *Keeper) Commit(ctx context.Context, p move.Progress, now time.Time) error {
	k.tried = now
	if !k.known {
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
		return fmt.Errorf("take the writer's lease of move %q: %w", k.declaration.Name, err)
	}
	if !lease.Held {
		k.known = false
		return ErrNotHolder
	}
	if lease.FencingNumber < k.committed.GetFencingNumber() {
		k.known = false
		return fmt.Errorf("fencing number %d is older than the record's %d: %w",
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
	k.committed, k.revision, k.known = record, entry.Revision, true
	return nil
}

func (k *Keeper) write(ctx context.Context, next *zinniaquayv1.MoveRecord, now time.Time) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the record of move %q: %w", next.GetMove(), err)
	}
	k.known = false
	swapped, revision, err := k.store.CompareAndSwap(ctx, Key(next.GetMove()), k.revision, value)
	if err != nil {
		return fmt.Errorf("write the record of move %q: %w", next.GetMove(), err)
	}
	if !swapped {
		return fmt.Errorf("record of move %q changed since it was read: %w", next.GetMove(), ErrNotHolder)
	}
	k.committed, k.revision, k.known, k.written = next, revision, true, now
	return nil
}

// decode reads a record; a key that does not exist has none.
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
