package keeper

import (
	"context"
	"sync"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// ReadInterval is the minimum time between two reads of one record by a Reader.
const ReadInterval = time.Second

// StateUnknown is the state of a move for which no committed record was read.
const StateUnknown = "unknown"

// Reader shows the committed records to operators, never a state that is not
// committed yet. It reads only on request, so that platform calls do not grow
// with the fleet. It is safe for concurrent use.
type Reader struct {
	store platform.KV

	mu      sync.Mutex
	records map[string]cachedRecord
}

// cachedRecord is a record as last read.
type cachedRecord struct {
	record      *zinniaquayv1.MoveRecord
	readAt      time.Time
	lastAttempt time.Time
}

// NewReader returns a reader.
func NewReader(store platform.KV) *Reader {
	return &Reader{store: store, records: make(map[string]cachedRecord)}
}

// Status returns the committed state of a move and the time since it was read.
// An age of -1 means that the record was never read.
func (r *Reader) Status(ctx context.Context, d move.Declaration, now time.Time) *zinniaquayv1.MoveStatus {
	cached := r.refresh(ctx, d.Name, now)
	status := &zinniaquayv1.MoveStatus{Move: d.Name, State: StateUnknown, RecordAgeMs: -1}
	if cached.readAt.IsZero() {
		status.Reason = "the platform has not answered yet"
		return status
	}
	status.RecordAgeMs = now.Sub(cached.readAt).Milliseconds()
	if cached.record.GetMoveDigest() != d.Digest() {
		status.Reason = "no record of this move is committed yet"
		return status
	}
	status.State = cached.record.GetState()
	status.Reason = cached.record.GetReason()
	if evidence := cached.record.GetEvidence(); evidence != "" {
		status.Reason += " [" + evidence + "]"
	}
	return status
}

// refresh reads the record unless there was an attempt within ReadInterval.
func (r *Reader) refresh(ctx context.Context, name string, now time.Time) cachedRecord {
	r.mu.Lock()
	cached := r.records[name]
	if !cached.lastAttempt.IsZero() && now.Sub(cached.lastAttempt) < ReadInterval {
		r.mu.Unlock()
		return cached
	}
	cached.lastAttempt = now
	r.records[name] = cached
	r.mu.Unlock()

	entry, err := r.store.Get(ctx, Key(name))
	if err != nil {
		return cached
	}
	record, err := decode(entry)
	if err != nil {
		return cached
	}
	cached.record, cached.readAt = record, now
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[name] = cached
	return cached
}
