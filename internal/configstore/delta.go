package configstore

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// MaxDeltaBytes limits the total size of the patches that a process keeps to
// send to its peers.
const MaxDeltaBytes = 64 << 10

var (
	// ErrDelta means that the received patches do not produce the sender's
	// configuration; the whole document is needed.
	ErrDelta = errors.New("patches do not produce the peer's configuration")
	// ErrNothingNewer means that a peer has no newer configuration.
	ErrNothingNewer = errors.New("the peer has no newer configuration")
)

// deltas holds the most recent patches up to the current configuration, without
// gaps.
type deltas struct {
	// last is the number of the configuration after the newest patch.
	last    uint64
	patches [][]byte
}

// since returns the patches from the configuration with the given number up to
// last. It returns false if one of them is missing.
func (d deltas) since(number uint64) ([][]byte, bool) {
	missing := d.last - number
	if number > d.last || missing > uint64(len(d.patches)) {
		return nil, false
	}
	return d.patches[uint64(len(d.patches))-missing:], true
}

// trimmed drops the oldest patches so that the rest fit in MaxDeltaBytes.
func (d deltas) trimmed() deltas {
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

// deltasFromRecord returns the newest patches of a record whose texts are stored.
func deltasFromRecord(r *Record) deltas {
	history := r.History()
	first := len(history)
	for first > 0 && len(history[first-1].GetPatch()) > 0 {
		first--
	}
	d := deltas{last: r.Number()}
	for _, patch := range history[first:] {
		d.patches = append(d.patches, patch.GetPatch())
	}
	return d.trimmed()
}

// Fetch handles a peer's request for a newer configuration. The response holds
// patches where all of them are kept, else the whole document.
func (s *Store) Fetch(req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	s.mu.Lock()
	current, known := s.current, s.deltas
	s.mu.Unlock()
	if current == nil || current.Number <= req.GetHaveNumber() {
		return &zinniaquayv1.FetchConfigurationResponse{Number: req.GetHaveNumber()}, nil
	}
	resp := &zinniaquayv1.FetchConfigurationResponse{Number: current.Number, Digest: current.Digest}
	// A request without a digest needs the whole document: the caller has no
	// configuration, or patches did not produce the sender's.
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

// ApplyFetched applies a peer's response to a request that was made while base
// was the current configuration; base is nil if there was none. After ErrDelta
// the caller must fetch the whole document. ErrCorrupt means that the document
// does not match its digest or number, or cannot be decoded.
func (s *Store) ApplyFetched(base *Snapshot, resp *zinniaquayv1.FetchConfigurationResponse) error {
	if resp.GetNumber() <= base.number() {
		return ErrNothingNewer
	}
	if len(resp.GetDocument()) > 0 {
		doc, err := wholeDocument(resp)
		if err != nil {
			return err
		}
		s.replaceIfNewer(NewSnapshot(doc), deltas{last: doc.GetNumber()})
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
	s.replaceIfNewer(next, s.appendPatches(base.Number, resp))
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

// appendPatches returns the patches kept by this store, followed by those of a
// peer's response.
func (s *Store) appendPatches(base uint64, resp *zinniaquayv1.FetchConfigurationResponse) deltas {
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
	return next.trimmed()
}
