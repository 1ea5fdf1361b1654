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

// Bounds of the history that a record holds.
const (
	// MaxHistory is the number of patches whose identity is kept.
	MaxHistory = 2048
	// MaxHistoryBytes is the size of all patches whose text is kept.
	MaxHistoryBytes = 128 << 10
	// maxRecordBytes bounds the decompressed size of a record.
	maxRecordBytes = 64 << 20
)

// ErrCorrupt means that a document or record is not what its digest says.
var ErrCorrupt = errors.New("configuration is corrupt")

// Record is the configuration as the platform holds it.
type Record struct {
	// Revision of the key that the record was read from; 0 for no record.
	Revision uint64
	stored   *zinniaquayv1.ConfigurationRecord
}

// emptyRecord is what a fleet without a configuration has.
func emptyRecord() *Record {
	return &Record{stored: &zinniaquayv1.ConfigurationRecord{Configuration: &zinniaquayv1.Configuration{}}}
}

// Number returns the number of the configuration, 0 for none.
func (r *Record) Number() uint64 { return r.Doc().GetNumber() }

// Doc returns the configuration; readers must not change it.
func (r *Record) Doc() *zinniaquayv1.Configuration { return r.stored.GetConfiguration() }

// History returns the patches accepted last, oldest first.
func (r *Record) History() []*zinniaquayv1.AcceptedPatch { return r.stored.GetPatches() }

// next returns the record that follows by one accepted patch.
func (r *Record) next(doc *zinniaquayv1.Configuration, patch *zinniaquayv1.AcceptedPatch) *Record {
	history := append(append([]*zinniaquayv1.AcceptedPatch(nil), r.History()...), patch)
	return &Record{stored: &zinniaquayv1.ConfigurationRecord{
		Configuration: doc,
		Digest:        Digest(doc),
		Patches:       trim(history),
	}}
}

// trim keeps the newest identities and, among them, the newest texts.
func trim(history []*zinniaquayv1.AcceptedPatch) []*zinniaquayv1.AcceptedPatch {
	if extra := len(history) - MaxHistory; extra > 0 {
		history = history[extra:]
	}
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		size += len(history[i].GetPatch())
		if size > MaxHistoryBytes && len(history[i].GetPatch()) > 0 {
			// Texts must stay without gaps, so older ones go as well.
			history[i] = &zinniaquayv1.AcceptedPatch{
				Number: history[i].GetNumber(), Id: history[i].GetId(), UnixMs: history[i].GetUnixMs(),
			}
		}
	}
	return history
}

// find tells what the history says of a patch that would have led to number.
func (r *Record) find(id []byte, number uint64) verdict {
	if r.Number() < number {
		return open
	}
	history := r.History()
	for _, patch := range history {
		if patch.GetNumber() == number {
			if bytes.Equal(patch.GetId(), id) {
				return accepted
			}
			return refused
		}
	}
	return forgotten
}

// verdict is what a record says of a patch whose answer was lost.
type verdict int

const (
	// open means that the patch may still be written.
	open verdict = iota
	// accepted means that the patch is in the history.
	accepted
	// refused means that another patch took its number; it can never be written.
	refused
	// forgotten means that the history no longer reaches back so far.
	forgotten
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

// DecodeRecord reads a record from a key's value and revision. An empty value is
// the record of a fleet without a configuration.
func DecodeRecord(value []byte, revision uint64) (*Record, error) {
	if len(value) == 0 {
		r := emptyRecord()
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
