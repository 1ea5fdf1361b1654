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

// patched returns a store after some patches, and its editor.
func patched(t testing.TB, patches int) (*Store, *Editor) {
	t.Helper()
	store := NewStore()
	editor := NewEditor(platform.NewMemory(), store)
	for number := range uint64(patches) {
		body := []byte(validIn)
		if number > 0 {
			body = fmt.Appendf(nil, `{"accounts": {"a%d": {"weight": 2}, "a%d": null}}`, number, number-2)
		}
		if _, err := editor.Patch(t.Context(), number, body); err != nil {
			t.Fatal(err)
		}
	}
	return store, editor
}

// fetch lets one store ask another, as processes do.
func fetch(from, to *Store, spoil func(*zinniaquayv1.FetchConfigurationResponse)) error {
	base := to.Current()
	req := &zinniaquayv1.FetchConfigurationRequest{HaveNumber: base.number()}
	if base != nil {
		req.HaveDigest = base.Digest
	}
	resp, err := from.Fetch(req)
	if err != nil {
		return err
	}
	if spoil != nil {
		spoil(resp)
	}
	return to.ApplyFetched(base, resp)
}

func TestDeltasLeadToTheSameDocument(t *testing.T) {
	is := is.New(t)
	from, editor := patched(t, 1)
	to, third := NewStore(), NewStore()
	is.NoErr(fetch(from, to, nil)) // the whole document at first
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
	is.NoErr(fetch(to, third, nil)) // patches are passed on
	is.Equal(third.Current().Digest, from.Current().Digest)
	is.True(errors.Is(fetch(from, to, nil), ErrNothingNewer))
}

func TestASpoiledDeltaIsNeverApplied(t *testing.T) {
	spoil := map[string]func(*zinniaquayv1.FetchConfigurationResponse){
		"another patch":   func(r *zinniaquayv1.FetchConfigurationResponse) { r.Patches[0] = []byte(`{"zones":{"z9":{}}}`) },
		"half a patch":    func(r *zinniaquayv1.FetchConfigurationResponse) { r.Patches[0] = r.Patches[0][:5] },
		"a missing patch": func(r *zinniaquayv1.FetchConfigurationResponse) { r.Patches = r.Patches[1:] },
		"another digest":  func(r *zinniaquayv1.FetchConfigurationResponse) { r.Digest++ },
		"another number":  func(r *zinniaquayv1.FetchConfigurationResponse) { r.Number++ },
	}
	for name, f := range spoil {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from, editor := patched(t, 1)
			to := NewStore()
			is.NoErr(fetch(from, to, nil))
			_, err := editor.Patch(t.Context(), 1, []byte(`{"accounts": {"b": {}}}`))
			is.NoErr(err)
			is.True(errors.Is(fetch(from, to, f), ErrDelta))
			is.Equal(to.Number(), uint64(1))
		})
	}
	is := is.New(t)
	from, _ := patched(t, 1)
	to := NewStore()
	is.True(errors.Is(fetch(from, to, func(r *zinniaquayv1.FetchConfigurationResponse) {
		r.Document = bytes.Replace(r.GetDocument(), []byte("village"), []byte("valley0"), 1)
	}), ErrCorrupt))
	is.True(errors.Is(fetch(from, to, func(r *zinniaquayv1.FetchConfigurationResponse) { r.Number++ }), ErrCorrupt))
	is.Equal(to.Number(), uint64(0))
}

// TestNumbersOnlyRise lets stores fetch from each other in any order, with
// answers that are delayed and repeated.
func TestNumbersOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		origin := NewStore()
		editor := NewEditor(platform.NewMemory(), origin)
		stores := []*Store{origin, NewStore(), NewStore()}
		type answer struct {
			to   int
			base *Snapshot
			resp *zinniaquayv1.FetchConfigurationResponse
		}
		var late []answer
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
				late = append(late, answer{to, base, resp})
			case 2:
				if len(late) > 0 {
					a := late[rapid.IntRange(0, len(late)-1).Draw(t, "late")]
					_ = stores[a.to].ApplyFetched(a.base, a.resp) // refusals are right answers here
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
		to.put(base, deltas{last: 1})
		if err := fetch(from, to, nil); err != nil {
			b.Fatal(err)
		}
	}
}
