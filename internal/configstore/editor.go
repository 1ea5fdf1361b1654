package configstore

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

const (
	// ResolveTimeout is the longest time that a patch whose answer was lost is
	// looked for before its outcome is called unknown.
	ResolveTimeout = 5 * time.Second
	// resolveInterval is the time between two such looks.
	resolveInterval = 250 * time.Millisecond
	// patchIDBytes is the length of a patch's identity.
	patchIDBytes = 16
)

// Result is the outcome of an accepted patch.
type Result struct {
	// Number of the configuration that the patch led to.
	Number uint64
	// PatchID is the patch's identity in the history, in hexadecimal.
	PatchID string
}

// Editor commits patches to the configuration in the platform's key-value
// service.
type Editor struct {
	kv    platform.KV
	store *Store
}

// NewEditor returns an editor that puts what it commits or reads in force in
// store.
func NewEditor(kv platform.KV, store *Store) *Editor {
	return &Editor{kv: kv, store: store}
}

// Load reads the record from the platform. Errors are of the kinds
// PlatformUnavailable and Internal.
func (e *Editor) Load(ctx context.Context) (*Record, error) {
	entry, err := e.kv.Get(ctx, Key)
	if err != nil {
		return nil, errkind.Wrap(errkind.PlatformUnavailable, err, "the platform does not answer")
	}
	record, err := DecodeRecord(entry.Value, entry.Revision)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "the stored configuration cannot be read")
	}
	e.store.ApplyRecord(record)
	return record, nil
}

// Patch applies a JSON merge patch to the configuration of number ifMatch and
// commits the outcome, all of it or nothing.
//
// Errors are of the kinds Malformed, Invalid (with an *InvalidError), StalePatch
// (with a *StaleError) and PlatformUnavailable, after all of which nothing was
// or will be committed, and OutcomeUnknown, after which the patch may have been
// committed, or may yet be.
func (e *Editor) Patch(ctx context.Context, ifMatch uint64, patch []byte) (Result, error) {
	record, err := e.Load(ctx)
	if err != nil {
		return Result{}, err
	}
	if record.Number() != ifMatch {
		return Result{}, stale(ifMatch, record.Number())
	}
	next, err := prepare(record, patch)
	if err != nil {
		return Result{}, err
	}
	value, err := next.encode()
	if err != nil {
		return Result{}, errkind.Wrap(errkind.Internal, err, "the configuration cannot be stored")
	}
	if len(value) > platform.MaxValueBytes {
		return Result{}, invalid([]Fault{{Message: "the configuration is too large for the platform"}})
	}
	return e.commit(ctx, record.Revision, next, value)
}

// prepare returns the record that a patch leads to.
func prepare(record *Record, patch []byte) (*Record, error) {
	doc, found, err := applyPatch(record.Doc(), patch)
	if err != nil {
		return nil, errkind.Wrap(errkind.Malformed, err, "%s", err.Error())
	}
	if len(found) > 0 {
		return nil, invalid(found)
	}
	doc.Number = record.Number() + 1
	var compact bytes.Buffer
	if err := json.Compact(&compact, patch); err != nil {
		return nil, errkind.Wrap(errkind.Malformed, err, "%s", err.Error())
	}
	id := make([]byte, patchIDBytes)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(id)
	return record.next(doc, &zinniaquayv1.AcceptedPatch{
		Number: doc.GetNumber(), Id: id, UnixMs: time.Now().UnixMilli(), Patch: compact.Bytes(),
	}), nil
}

// commit writes a record and, where the answer is not a clear yes, reads back
// what became of it.
func (e *Editor) commit(ctx context.Context, expected uint64, next *Record, value []byte) (Result, error) {
	swapped, _, err := e.kv.CompareAndSwap(ctx, Key, expected, value)
	if err == nil && swapped {
		return e.accept(next), nil
	}
	// A plain "no" may be the answer to a copy of the call that a transport
	// repeated after the first copy took effect, so it is read back as well.
	ctx, cancel := context.WithTimeout(ctx, ResolveTimeout)
	defer cancel()
	for {
		if result, err, done := e.resolve(ctx, expected, next, value); done {
			return result, err
		}
		select {
		case <-ctx.Done():
			return Result{}, errkind.New(errkind.OutcomeUnknown,
				"the platform's answer was lost; look for patch %s in the history", patchID(next))
		case <-time.After(resolveInterval):
		}
	}
}

// resolve reads the record back and, where the patch is still open, offers it
// again; the expected revision keeps it from being written twice.
func (e *Editor) resolve(ctx context.Context, expected uint64, next *Record, value []byte) (Result, error, bool) {
	current, err := e.Load(ctx)
	if err != nil {
		return Result{}, nil, false
	}
	switch current.find(lastID(next), next.Number()) {
	case accepted:
		return e.accept(next), nil, true
	case refused:
		return Result{}, stale(next.Number()-1, current.Number()), true
	case forgotten:
		return Result{}, errkind.New(errkind.OutcomeUnknown,
			"the history no longer holds number %d; patch %s may have been accepted", next.Number(), patchID(next)), true
	case open:
	}
	swapped, _, err := e.kv.CompareAndSwap(ctx, Key, expected, value)
	if err == nil && swapped {
		return e.accept(next), nil, true
	}
	return Result{}, nil, false
}

func (e *Editor) accept(record *Record) Result {
	e.store.ApplyRecord(record)
	return Result{Number: record.Number(), PatchID: patchID(record)}
}

func lastID(r *Record) []byte {
	history := r.History()
	return history[len(history)-1].GetId()
}

func patchID(r *Record) string { return hex.EncodeToString(lastID(r)) }

func stale(ifMatch, current uint64) error {
	return errkind.Wrap(errkind.StalePatch, &StaleError{Current: current},
		"the patch was made against number %d; the current number is %d", ifMatch, current)
}

func invalid(found []Fault) error {
	return errkind.Wrap(errkind.Invalid, &InvalidError{Faults: found}, "faults in the patched configuration: %d", len(found))
}

// FaultsOf returns the faults that an error of the kind Invalid lists.
func FaultsOf(err error) []Fault {
	var e *InvalidError
	if errors.As(err, &e) {
		return e.Faults
	}
	return nil
}

// CurrentOf returns the number in force that an error of the kind StalePatch
// names.
func CurrentOf(err error) (uint64, bool) {
	var e *StaleError
	if errors.As(err, &e) {
		return e.Current, true
	}
	return 0, false
}
