package configstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"google.golang.org/protobuf/encoding/protojson"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// errNotObject means that a merge patch is not a JSON object.
var errNotObject = errors.New("a merge patch must be a JSON object")

// applyPatch applies a merge patch to a copy of a document and validates the
// result. It returns an error if the patch is malformed, faults if the result is
// invalid, and else the patched document with its number unchanged.
func applyPatch(doc *zinniaquayv1.Configuration, patch []byte) (*zinniaquayv1.Configuration, []Fault, error) {
	var object map[string]any
	decoder := json.NewDecoder(bytes.NewReader(patch))
	decoder.UseNumber()
	if err := decoder.Decode(&object); err != nil {
		return nil, nil, fmt.Errorf("merge patch: %w", err)
	}
	if object == nil {
		return nil, nil, errNotObject
	}
	if found := checkSchema(object); len(found) > 0 {
		return nil, found, nil
	}
	next, err := merge(doc, patch)
	if err != nil {
		return nil, nil, err
	}
	if found := Validate(next); len(found) > 0 {
		return nil, found, nil
	}
	return next, nil, nil
}

// merge applies merge patches in order and checks the result only against the
// schema.
func merge(doc *zinniaquayv1.Configuration, patches ...[]byte) (*zinniaquayv1.Configuration, error) {
	data, err := ToJSON(doc)
	if err != nil {
		return nil, err
	}
	for _, patch := range patches {
		if data, err = jsonpatch.MergePatch(data, patch); err != nil {
			return nil, fmt.Errorf("merge patch: %w", err)
		}
	}
	next := &zinniaquayv1.Configuration{}
	if err := protojson.Unmarshal(data, next); err != nil {
		return nil, fmt.Errorf("patched configuration: %w", err)
	}
	return next, nil
}
