package configstore

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// MaxDeltaBytes is the size of all patches that a process remembers to pass on.
const MaxDeltaBytes = 64 << 10

var (
	// ErrDelta means that patches do not lead to the configuration that their
	// sender has; the whole document is needed.
	ErrDelta = errors.New("patches do not lead to the configuration")
	// ErrNothingNewer means that a peer has nothing newer.
	ErrNothingNewer = errors.New("the peer has nothing newer")
)

// deltas are the patches that led to the configuration in force, without gaps.
type deltas struct {
	// last is the number that the newest patch led to.
	last    uint64
	patches [][]byte
}

// since returns the patches that lead from a number to last, if all are known.
func (d deltas) since(number uint64) ([][]byte, bool) {
	missing := d.last - number
	if number > d.last || missing > uint64(len(d.patches)) {
		return nil, false
	}
	return d.patches[uint64(len(d.patches))-missing:], true
}

// bounded drops the oldest patches over MaxDeltaBytes.
func (d deltas) bounded() deltas {
	size := 0
	for i := len(d.patches) - 1; i >= 0; i-- {
		size += len(d.patches[i])
		if size > MaxDeltaBytes {
			d.patches = d.patches[i+1:]
			break
		}
	}
	return d
}

// deltasOf takes the patches of a record whose texts are kept.
func deltasOf(r *Record) deltas {
	history := r.History()
	first := len(history)
	for first > 0 && len(history[first-1].GetPatch()) > 0 {
		first--
	}
	d := deltas{last: r.Number()}
	for _, patch := range history[first:] {
		d.patches = append(d.patches, patch.GetPatch())
	}
	return d.bounded()
}

// Fetch answers a peer that asks for a newer configuration: with patches where
// they suffice and are shorter, else with the whole document.
func (s *Store) Fetch(req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	s.mu.Lock()
	current, known := s.current, s.deltas
	s.mu.Unlock()
	if current == nil || current.Number <= req.GetHaveNumber() {
		return &zinniaquayv1.FetchConfigurationResponse{Number: req.GetHaveNumber()}, nil
	}
	resp := &zinniaquayv1.FetchConfigurationResponse{Number: current.Number, Digest: current.Digest}
	// A caller that names no digest could not use patches before.
	if patches, ok := known.since(req.GetHaveNumber()); ok && req.GetHaveDigest() != 0 {
		resp.Patches = patches
		return resp, nil
	}
	document, err := marshal(current.Doc)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	resp.Document = document
	return resp, nil
}

// ApplyFetched puts in force what a peer sent to a process that had base, which
// is nil for none. ErrDelta asks for another fetch of the whole document;
// ErrCorrupt means that the peer's document is not what its digest says.
func (s *Store) ApplyFetched(base *Snapshot, resp *zinniaquayv1.FetchConfigurationResponse) error {
	if resp.GetNumber() <= base.number() {
		return ErrNothingNewer
	}
	if len(resp.GetDocument()) > 0 {
		doc, err := wholeDocument(resp)
		if err != nil {
			return err
		}
		s.put(NewSnapshot(doc), deltas{last: doc.GetNumber()})
		return nil
	}
	if base == nil {
		return ErrDelta
	}
	doc, err := merge(base.Doc, resp.GetPatches()...)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDelta, err)
	}
	doc.Number = resp.GetNumber()
	next := NewSnapshot(doc)
	if next.Digest != resp.GetDigest() {
		return fmt.Errorf("%w: digest of number %d differs", ErrDelta, next.Number)
	}
	s.put(next, s.extended(base.Number, resp))
	return nil
}

func wholeDocument(resp *zinniaquayv1.FetchConfigurationResponse) (*zinniaquayv1.Configuration, error) {
	if xxhash.Sum64(resp.GetDocument()) != resp.GetDigest() {
		return nil, fmt.Errorf("%w: digest of number %d differs", ErrCorrupt, resp.GetNumber())
	}
	doc := &zinniaquayv1.Configuration{}
	if err := proto.Unmarshal(resp.GetDocument(), doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if doc.GetNumber() != resp.GetNumber() {
		return nil, fmt.Errorf("%w: number %d in a document sent as %d", ErrCorrupt, doc.GetNumber(), resp.GetNumber())
	}
	return doc, nil
}

// extended returns the patches known here, followed by those of a peer.
func (s *Store) extended(base uint64, resp *zinniaquayv1.FetchConfigurationResponse) deltas {
	s.mu.Lock()
	known := s.deltas
	s.mu.Unlock()
	next := deltas{last: resp.GetNumber()}
	if known.last == base {
		next.patches = append(next.patches, known.patches...)
	}
	if uint64(len(resp.GetPatches())) == resp.GetNumber()-base {
		next.patches = append(next.patches, resp.GetPatches()...)
	} else {
		next.patches = nil
	}
	return next.bounded()
}
