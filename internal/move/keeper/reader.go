package keeper

import (
	"context"
	"sync"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// ReadInterval is the least time between two reads of one record by a Reader.
const ReadInterval = time.Second

// StateUnknown is shown for a move whose record was never read.
const StateUnknown = "unknown"

// Reader shows operators the committed records, and nothing that is ahead of
// them. It reads only when asked, so that platform calls do not grow with the
// fleet. It is safe for concurrent use.
type Reader struct {
	store platform.KV

	mu      sync.Mutex
	records map[string]reading
}

// reading is a record as last read.
type reading struct {
	record *zinniaquayv1.MoveRecord
	at     time.Time
	tried  time.Time
}

// NewReader returns a reader.
func NewReader(store platform.KV) *Reader {
	return &Reader{store: store, records: make(map[string]reading)}
}

// Status returns the committed state of a move and the age of that knowledge.
// An age of -1 means that the record was never read.
func (r *Reader) Status(ctx context.Context, d move.Declaration, now time.Time) *zinniaquayv1.MoveStatus {
	known := r.refresh(ctx, d.Name, now)
	status := &zinniaquayv1.MoveStatus{Move: d.Name, State: StateUnknown, RecordAgeMs: -1}
	if known.at.IsZero() {
		status.Reason = "the platform has not answered yet"
		return status
	}
	status.RecordAgeMs = now.Sub(known.at).Milliseconds()
	if known.record.GetMoveDigest() != d.Digest() {
		status.Reason = "no record of this move is committed yet"
		return status
	}
	status.State = known.record.GetState()
	status.Reason = known.record.GetReason()
	if evidence := known.record.GetEvidence(); evidence != "" {
		status.Reason += " [" + evidence + "]"
	}
	return status
}

// refresh reads the record unless that was tried just now.
func (r *Reader) refresh(ctx context.Context, name string, now time.Time) reading {
	r.mu.Lock()
	known := r.records[name]
	if !known.tried.IsZero() && now.Sub(known.tried) < ReadInterval {
		r.mu.Unlock()
		return known
	}
	known.tried = now
	r.records[name] = known
	r.mu.Unlock()

	entry, err := r.store.Get(ctx, Key(name))
	if err != nil {
		return known
	}
	record, err := decode(entry)
	if err != nil {
		return known
	}
	known.record, known.at = record, now
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[name] = known
	return known
}
