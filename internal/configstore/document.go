package configstore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// marshal returns the deterministic binary encoding of a document.
func marshal(doc *zinniaquayv1.Configuration) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(doc)
}

// Digest returns the 64-bit digest of a document's binary encoding.
func Digest(doc *zinniaquayv1.Configuration) uint64 {
	data, err := marshal(doc)
	if err != nil {
		// Encoding fails only for invalid UTF-8, which both the JSON and the
		// binary parser reject.
		return 0
	}
	return xxhash.Sum64(data)
}

// ToJSON returns the document as compact JSON with the schema's field names.
// Equal documents have equal JSON.
func ToJSON(doc *zinniaquayv1.Configuration) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("configuration to JSON: %w", err)
	}
	// The white space in the output of protojson differs between builds.
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return nil, fmt.Errorf("configuration to JSON: %w", err)
	}
	return out.Bytes(), nil
}

// FromJSON reads a document from JSON and returns every fault in it. It returns
// an error only if the JSON itself is malformed.
func FromJSON(data []byte) (*zinniaquayv1.Configuration, []Fault, error) {
	return applyPatch(&zinniaquayv1.Configuration{}, data)
}
