package configstore

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Key is the key of the configuration in the platform's key-value service.
const Key = "zinniaquay/configuration"

// Limits of a stored record.
const (
	// MaxHistory is the number of patches whose ID is kept.
	MaxHistory = 2048
	// MaxHistoryBytes limits the total size of the patch texts that are kept.
	MaxHistoryBytes = 128 << 10
	// maxRecordBytes limits the decompressed size of a record.
	maxRecordBytes = 64 << 20
)

// ErrCorrupt means that a document or record cannot be decoded or does not match
// its digest or number.
var ErrCorrupt = errors.New("configuration is corrupt")

// Record is the configuration as stored in the platform, with its history.
type Record struct {
	// Revision of the key when the record was read; 0 if the key did not exist.
	Revision uint64
	stored   *zinniaquayv1.ConfigurationRecord
}

// newEmptyRecord returns the record of a fleet without a configuration.
func newEmptyRecord() *Record {
	return &Record{stored: &zinniaquayv1.ConfigurationRecord{Configuration: &zinniaquayv1.Configuration{}}}
}

// Number returns the number of the configuration, 0 for none.
func (r *Record) Number() uint64 { return r.Doc().GetNumber() }

// Doc returns the configuration; readers must not change it.
func (r *Record) Doc() *zinniaquayv1.Configuration { return r.stored.GetConfiguration() }

// History returns the most recently accepted patches, oldest first.
func (r *Record) History() []*zinniaquayv1.AcceptedPatch { return r.stored.GetPatches() }

// next returns the record after one more accepted patch.
func (r *Record) next(doc *zinniaquayv1.Configuration, patch *zinniaquayv1.AcceptedPatch) *Record {
	history := append(append([]*zinniaquayv1.AcceptedPatch(nil), r.History()...), patch)
	return &Record{stored: &zinniaquayv1.ConfigurationRecord{
		Configuration: doc,
		Digest:        Digest(doc),
		Patches:       trimHistory(history),
	}}
}

// trimHistory keeps the newest MaxHistory patches and drops the texts of the
// oldest of them, so that the rest fit in MaxHistoryBytes.
func trimHistory(history []*zinniaquayv1.AcceptedPatch) []*zinniaquayv1.AcceptedPatch {
	if extra := len(history) - MaxHistory; extra > 0 {
		history = history[extra:]
	}
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		size += len(history[i].GetPatch())
		if size > MaxHistoryBytes && len(history[i].GetPatch()) > 0 {
			// The kept texts must have no gaps, so the texts of all older patches
			// are dropped too.
			history[i] = &zinniaquayv1.AcceptedPatch{
				Number: history[i].GetNumber(), Id: history[i].GetId(), UnixMs: history[i].GetUnixMs(),
			}
		}
	}
	return history
}

// statusOf returns the status of the patch with an ID that was to produce the
// configuration with the given number.
func (r *Record) statusOf(id []byte, number uint64) patchStatus {
	if r.Number() < number {
		return patchPending
	}
	history := r.History()
	for _, patch := range history {
		if patch.GetNumber() == number {
			if bytes.Equal(patch.GetId(), id) {
				return patchAccepted
			}
			return patchRejected
		}
	}
	return patchEvicted
}

// patchStatus is the status of a patch whose response was lost, according to a
// record that was read later.
type patchStatus int

const (
	// patchPending means that the patch is not in the record and may still be
	// written.
	patchPending patchStatus = iota
	// patchAccepted means that the patch is in the history.
	patchAccepted
	// patchRejected means that another patch has the number, so this one can
	// never be written.
	patchRejected
	// patchEvicted means that the history no longer holds the number.
	patchEvicted
)

// encode returns the compressed value of a record.
func (r *Record) encode() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.stored)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if _, err := compressor.Write(data); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeRecord decodes a record from a key's value and revision. An empty value
// yields the record of a fleet without a configuration.
func DecodeRecord(value []byte, revision uint64) (*Record, error) {
	if len(value) == 0 {
		r := newEmptyRecord()
		r.Revision = revision
		return r, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxRecordBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	stored := &zinniaquayv1.ConfigurationRecord{}
	if err := proto.Unmarshal(data, stored); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if Digest(stored.GetConfiguration()) != stored.GetDigest() {
		return nil, fmt.Errorf("%w: digest of number %d differs", ErrCorrupt, stored.GetConfiguration().GetNumber())
	}
	return &Record{Revision: revision, stored: stored}, nil
}
