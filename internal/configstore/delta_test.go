package configstore

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// newPatchedStore returns a store after a number of patches, and its editor.
func newPatchedStore(t testing.TB, patches int) (*Store, *Editor) {
	t.Helper()
	store := NewStore()
	editor := NewEditor(platform.NewMemory(), store)
	for number := range uint64(patches) {
		body := []byte(validJSON)
		if number > 0 {
			body = fmt.Appendf(nil, `{"accounts": {"a%d": {"weight": 2}, "a%d": null}}`, number, number-2)
		}
		if _, err := editor.Patch(t.Context(), number, body); err != nil {
			t.Fatal(err)
		}
	}
	return store, editor
}

// fetch transfers the configuration from one store to another, as processes do.
// The function corrupt, if any, changes the response on the way.
func fetch(from, to *Store, corrupt func(*zinniaquayv1.FetchConfigurationResponse)) error {
	base := to.Current()
	req := &zinniaquayv1.FetchConfigurationRequest{HaveNumber: base.number()}
	if base != nil {
		req.HaveDigest = base.Digest
	}
	resp, err := from.Fetch(req)
	if err != nil {
		return err
	}
	if corrupt != nil {
		corrupt(resp)
	}
	return to.ApplyFetched(base, resp)
}

func TestDeltasProduceTheSameDocument(t *testing.T) {
	is := is.New(t)
	from, editor := newPatchedStore(t, 1)
	to, third := NewStore(), NewStore()
	is.NoErr(fetch(from, to, nil)) // the first fetch returns the whole document
	is.NoErr(fetch(to, third, nil))
	for number := uint64(1); number < 4; number++ {
		_, err := editor.Patch(t.Context(), number, fmt.Appendf(nil, `{"accounts": {"a%d": {"weight": 3}}}`, number))
		is.NoErr(err)
	}
	resp, err := from.Fetch(&zinniaquayv1.FetchConfigurationRequest{HaveNumber: 1, HaveDigest: to.Current().Digest})
	is.NoErr(err)
	is.Equal(len(resp.GetPatches()), 3)
	is.Equal(len(resp.GetDocument()), 0)
	is.NoErr(fetch(from, to, nil))
	is.NoErr(fetch(to, third, nil)) // fetched patches are sent to other peers
	is.Equal(third.Current().Digest, from.Current().Digest)
	is.True(errors.Is(fetch(from, to, nil), ErrNothingNewer))
}

func TestCorruptDeltaIsNeverApplied(t *testing.T) {
	corruptions := map[string]func(*zinniaquayv1.FetchConfigurationResponse){
		"other patch":     func(r *zinniaquayv1.FetchConfigurationResponse) { r.Patches[0] = []byte(`{"zones":{"z9":{}}}`) },
		"truncated patch": func(r *zinniaquayv1.FetchConfigurationResponse) { r.Patches[0] = r.Patches[0][:5] },
		"missing patch":   func(r *zinniaquayv1.FetchConfigurationResponse) { r.Patches = r.Patches[1:] },
		"wrong digest":    func(r *zinniaquayv1.FetchConfigurationResponse) { r.Digest++ },
		"wrong number":    func(r *zinniaquayv1.FetchConfigurationResponse) { r.Number++ },
	}
	for name, f := range corruptions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from, editor := newPatchedStore(t, 1)
			to := NewStore()
			is.NoErr(fetch(from, to, nil))
			_, err := editor.Patch(t.Context(), 1, []byte(`{"accounts": {"b": {}}}`))
			is.NoErr(err)
			is.True(errors.Is(fetch(from, to, f), ErrDelta))
			is.Equal(to.Number(), uint64(1))
		})
	}
	is := is.New(t)
	from, _ := newPatchedStore(t, 1)
	to := NewStore()
	is.True(errors.Is(fetch(from, to, func(r *zinniaquayv1.FetchConfigurationResponse) {
		r.Document = bytes.Replace(r.GetDocument(), []byte("village"), []byte("valley0"), 1)
	}), ErrCorrupt))
	is.True(errors.Is(fetch(from, to, func(r *zinniaquayv1.FetchConfigurationResponse) { r.Number++ }), ErrCorrupt))
	is.Equal(to.Number(), uint64(0))
}

// TestConfigurationNumberNeverDecreases makes stores fetch from each other in any
// order, with responses that are delayed and duplicated. A store must never apply
// a lower number or a document that differs from the origin's of that number.
func TestConfigurationNumberNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		origin := NewStore()
		editor := NewEditor(platform.NewMemory(), origin)
		stores := []*Store{origin, NewStore(), NewStore()}
		type response struct {
			to   int
			base *Snapshot
			resp *zinniaquayv1.FetchConfigurationResponse
		}
		var delayed []response
		digests := map[uint64]uint64{0: 0}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			before := numbers(stores)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				number := origin.Number()
				_, err := editor.Patch(t.Context(), number, fmt.Appendf(nil, `{"accounts":{"a%d":{"weight":%d}}}`, number%5, number+1))
				is.NoErr(err)
				digests[origin.Number()] = origin.Current().Digest
			case 1:
				from, to := rapid.IntRange(0, 1).Draw(t, "from"), rapid.IntRange(1, 2).Draw(t, "to")
				base := stores[to].Current()
				req := &zinniaquayv1.FetchConfigurationRequest{HaveNumber: base.number(), HaveDigest: uint64(rapid.IntRange(0, 1).Draw(t, "digest"))}
				resp, err := stores[from].Fetch(req)
				is.NoErr(err)
				delayed = append(delayed, response{to, base, resp})
			case 2:
				if len(delayed) > 0 {
					r := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
					_ = stores[r.to].ApplyFetched(r.base, r.resp) // an error is allowed: the response may be stale
				}
			}
			for i, number := range numbers(stores) {
				is.True(number >= before[i])
				if number > 0 {
					is.Equal(stores[i].Current().Digest, digests[number])
				}
			}
		}
	})
}

func numbers(stores []*Store) []uint64 {
	out := make([]uint64, len(stores))
	for i, s := range stores {
		out[i] = s.Number()
	}
	return out
}

func BenchmarkApplyDeltaAtDesignSize(b *testing.B) {
	from := NewStore()
	editor := NewEditor(platform.NewMemory(), from)
	if _, err := editor.Patch(b.Context(), 0, []byte(largeDocument())); err != nil {
		b.Fatal(err)
	}
	base := from.Current()
	if _, err := editor.Patch(b.Context(), 1, []byte(`{"zones": {"zone-1": {"state": "out"}}}`)); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		to := NewStore()
		to.replaceIfNewer(base, deltas{last: 1})
		if err := fetch(from, to, nil); err != nil {
			b.Fatal(err)
		}
	}
}
