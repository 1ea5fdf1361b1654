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
	// ResolveTimeout limits the time for reading back a patch whose response was
	// lost; after it the outcome is reported as unknown.
	ResolveTimeout = 5 * time.Second
	// resolveInterval is the time between two such reads.
	resolveInterval = 250 * time.Millisecond
	// patchIDBytes is the length of a patch's ID.
	patchIDBytes = 16
)

// Result is the outcome of an accepted patch.
type Result struct {
	// Number of the configuration after the patch.
	Number uint64
	// PatchID is the patch's ID in the history, in hexadecimal.
	PatchID string
}

// Editor commits patches to the configuration in the platform's key-value
// service.
type Editor struct {
	kv    platform.KV
	store *Store
}

// NewEditor returns an editor that applies each configuration that it commits or
// reads to store.
func NewEditor(kv platform.KV, store *Store) *Editor {
	return &Editor{kv: kv, store: store}
}

// Load reads the record from the platform and applies it to the store. Errors
// are of the kinds PlatformUnavailable and Internal.
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

// Patch applies a JSON merge patch to the configuration with the number ifMatch
// and commits the result atomically.
//
// Errors are of the kinds Malformed, Invalid (with an *InvalidError), StalePatch
// (with a *StaleError) and PlatformUnavailable, after which the patch is not
// committed now or later, and OutcomeUnknown, after which the patch may have
// been committed or may still be committed.
func (e *Editor) Patch(ctx context.Context, ifMatch uint64, patch []byte) (Result, error) {
	record, err := e.Load(ctx)
	if err != nil {
		return Result{}, err
	}
	if record.Number() != ifMatch {
		return Result{}, newStaleError(ifMatch, record.Number())
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
		return Result{}, newInvalidError([]Fault{{Message: "the configuration is too large for the platform"}})
	}
	return e.commit(ctx, record.Revision, next, value)
}

// prepare returns the record after a patch.
func prepare(record *Record, patch []byte) (*Record, error) {
	doc, found, err := applyPatch(record.Doc(), patch)
	if err != nil {
		return nil, errkind.Wrap(errkind.Malformed, err, "%s", err.Error())
	}
	if len(found) > 0 {
		return nil, newInvalidError(found)
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

// commit writes a record. Unless the response confirms the write, it reads the
// record back to resolve the outcome.
func (e *Editor) commit(ctx context.Context, expected uint64, next *Record, value []byte) (Result, error) {
	swapped, _, err := e.kv.CompareAndSwap(ctx, Key, expected, value)
	if err == nil && swapped {
		return e.applyCommitted(next), nil
	}
	// A failed swap may be the response to a duplicate that a transport sent
	// after the first copy took effect, so it is resolved by reading back too.
	ctx, cancel := context.WithTimeout(ctx, ResolveTimeout)
	defer cancel()
	for {
		if result, err, done := e.resolve(ctx, expected, next, value); done {
			return result, err
		}
		select {
		case <-ctx.Done():
			return Result{}, errkind.New(errkind.OutcomeUnknown,
				"the platform's answer was lost; look for patch %s in the history", lastPatchIDHex(next))
		case <-time.After(resolveInterval):
		}
	}
}

// resolve reads the record back and, while the patch is pending, retries the
// write; the expected revision prevents a second commit. It returns false if the
// outcome is not resolved.
func (e *Editor) resolve(ctx context.Context, expected uint64, next *Record, value []byte) (Result, error, bool) {
	current, err := e.Load(ctx)
	if err != nil {
		return Result{}, nil, false
	}
	switch current.statusOf(lastPatchID(next), next.Number()) {
	case patchAccepted:
		return e.applyCommitted(next), nil, true
	case patchRejected:
		return Result{}, newStaleError(next.Number()-1, current.Number()), true
	case patchEvicted:
		return Result{}, errkind.New(errkind.OutcomeUnknown,
			"the history no longer holds number %d; patch %s may have been accepted", next.Number(), lastPatchIDHex(next)), true
	case patchPending:
	}
	swapped, _, err := e.kv.CompareAndSwap(ctx, Key, expected, value)
	if err == nil && swapped {
		return e.applyCommitted(next), nil, true
	}
	return Result{}, nil, false
}

func (e *Editor) applyCommitted(record *Record) Result {
	e.store.ApplyRecord(record)
	return Result{Number: record.Number(), PatchID: lastPatchIDHex(record)}
}

func lastPatchID(r *Record) []byte {
	history := r.History()
	return history[len(history)-1].GetId()
}

func lastPatchIDHex(r *Record) string { return hex.EncodeToString(lastPatchID(r)) }

func newStaleError(ifMatch, current uint64) error {
	return errkind.Wrap(errkind.StalePatch, &StaleError{Current: current},
		"the patch was made against number %d; the current number is %d", ifMatch, current)
}

func newInvalidError(found []Fault) error {
	return errkind.Wrap(errkind.Invalid, &InvalidError{Faults: found}, "faults in the patched configuration: %d", len(found))
}

// FaultsOf returns the faults in an error of the kind Invalid, nil for other
// errors.
func FaultsOf(err error) []Fault {
	var e *InvalidError
	if errors.As(err, &e) {
		return e.Faults
	}
	return nil
}

// CurrentOf returns the current configuration number in an error of the kind
// StalePatch.
func CurrentOf(err error) (uint64, bool) {
	var e *StaleError
	if errors.As(err, &e) {
		return e.Current, true
	}
	return 0, false
}
