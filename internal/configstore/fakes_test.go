package configstore

import (
	"context"
	"crypto/rand"
	"errors"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// failFirstWriteKV applies faults to the first write and then calls after.
type failFirstWriteKV struct {
	*platform.Memory
	faults platform.Faults
	after  func() error
	done   bool
}

func (f *failFirstWriteKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if f.done {
		return f.Memory.CompareAndSwap(ctx, key, expected, value)
	}
	f.done = true
	f.SetFaults(f.faults)
	swapped, revision, err := f.Memory.CompareAndSwap(ctx, key, expected, value)
	return swapped, revision, errors.Join(err, f.after())
}

// duplicateWriteKV sends each write twice and returns the response to the second
// copy, as a transport that retries does.
type duplicateWriteKV struct{ *platform.Memory }

func (r *duplicateWriteKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if _, _, err := r.Memory.CompareAndSwap(ctx, key, expected, value); err != nil {
		return false, 0, err
	}
	return r.Memory.CompareAndSwap(ctx, key, expected, value)
}

// prepareUnchecked adds a patch to the history without applying it, so that a
// test with thousands of patches runs quickly.
func prepareUnchecked(record *Record, patch []byte) (*Record, error) {
	doc := &zinniaquayv1.Configuration{
		Number: record.Number() + 1, Accounts: record.Doc().GetAccounts(), Zones: record.Doc().GetZones(),
		Services: record.Doc().GetServices(), Targets: record.Doc().GetTargets(),
	}
	id := make([]byte, patchIDBytes)
	_, err := rand.Read(id)
	return &Record{stored: &zinniaquayv1.ConfigurationRecord{
		Configuration: doc, Digest: 0,
		Patches: trimHistory(append(record.History(), &zinniaquayv1.AcceptedPatch{
			Number: doc.GetNumber(), Id: id, UnixMs: 1_700_000_000_000 + int64(doc.GetNumber())*72_000, Patch: patch,
		})),
	}}, err
}
