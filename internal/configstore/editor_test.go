package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

func TestPatchAssignsNumbersAndRejectsInvalidPatches(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	editor := NewEditor(platform.NewMemory(), store)
	first, err := editor.Patch(t.Context(), 0, []byte(validJSON))
	is.NoErr(err)
	is.Equal(first.Number, uint64(1))
	is.Equal(store.Number(), uint64(1)) // applied to the local store at once

	_, err = editor.Patch(t.Context(), 0, []byte(`{}`))
	is.Equal(errkind.Of(err), errkind.StalePatch)
	current, ok := CurrentOf(err)
	is.True(ok && current == 1)

	_, err = editor.Patch(t.Context(), 1, []byte(`{"zones": {"z2": null, "z1": {"state": "gone"}}}`))
	is.Equal(errkind.Of(err), errkind.Invalid)
	is.Equal(FaultsOf(err)[0].Field, "zones.z1.state")

	_, err = editor.Patch(t.Context(), 1, []byte(`[]`))
	is.Equal(errkind.Of(err), errkind.Malformed)
	record, err := editor.Load(t.Context())
	is.NoErr(err)
	is.Equal(len(record.History()), 1) // a rejected patch leaves no trace in the record
	is.Equal(record.Number(), uint64(1))
}

// TestLostWriteResponseIsReportedWithItsOutcome makes the first write fail or lose
// its response and checks the reported outcome against the stored record.
func TestLostWriteResponseIsReportedWithItsOutcome(t *testing.T) {
	tests := []struct {
		name string
		// before holds the faults during the first write.
		before platform.Faults
		// after runs directly after the first write.
		after  func(m *platform.Memory, rival *Editor) error
		want   errkind.Kind
		number uint64
	}{
		{"committed, found by reading back", platform.Faults{LoseWriteAnswers: true},
			func(m *platform.Memory, _ *Editor) error {
				m.SetFaults(platform.Faults{})
				return nil
			}, "", 2},
		{"committed, followed by another patch", platform.Faults{LoseWriteAnswers: true},
			func(m *platform.Memory, rival *Editor) error {
				m.SetFaults(platform.Faults{})
				_, err := rival.Patch(t.Context(), 2, []byte(`{}`))
				return err
			}, "", 3},
		{"not committed, write retried", platform.Faults{Down: true},
			func(m *platform.Memory, _ *Editor) error {
				m.SetFaults(platform.Faults{})
				return nil
			}, "", 2},
		{"not committed, another patch has the number", platform.Faults{Down: true},
			func(m *platform.Memory, rival *Editor) error {
				m.SetFaults(platform.Faults{})
				_, err := rival.Patch(t.Context(), 1, []byte(`{}`))
				return err
			}, errkind.StalePatch, 2},
		{"the platform stays down", platform.Faults{Down: true},
			func(*platform.Memory, *Editor) error { return nil }, errkind.OutcomeUnknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := platform.NewMemory()
				rival := NewEditor(m, NewStore())
				_, err := rival.Patch(t.Context(), 0, []byte(validJSON))
				is.NoErr(err)
				editor := NewEditor(&failFirstWriteKV{Memory: m, faults: tt.before, after: func() error { return tt.after(m, rival) }}, NewStore())
				result, err := editor.Patch(t.Context(), 1, []byte(`{"zones": {"z1": {"state": "out"}}}`))
				if tt.want == "" {
					is.NoErr(err)
					is.Equal(result.Number, uint64(2))
				} else {
					is.Equal(errkind.Of(err), tt.want)
				}
				m.SetFaults(platform.Faults{})
				record, err := rival.Load(t.Context())
				is.NoErr(err)
				is.Equal(record.Number(), tt.number)
			})
		})
	}
}

func TestFailedSwapOfDuplicatedWriteIsReadBack(t *testing.T) {
	is := is.New(t)
	editor := NewEditor(&duplicateWriteKV{Memory: platform.NewMemory()}, NewStore())
	result, err := editor.Patch(t.Context(), 0, []byte(validJSON))
	is.NoErr(err)
	is.Equal(result.Number, uint64(1))
}

func TestLargestFleetUsesUnderTwoThirdsOfTheValueLimit(t *testing.T) {
	is := is.New(t)
	editor := NewEditor(platform.NewMemory(), NewStore())
	_, err := editor.Patch(t.Context(), 0, []byte(largeDocument()))
	is.NoErr(err)
	record, err := editor.Load(t.Context())
	is.NoErr(err)
	// A history of the maximum length and size.
	for i := range MaxHistory {
		patch := fmt.Sprintf(`{"accounts":{"account-%04d":{"weight":%d}}}`, i, i%7+1)
		next, err := prepareUnchecked(record, []byte(patch))
		is.NoErr(err)
		record = next
	}
	record.stored.Digest = Digest(record.Doc())
	value, err := record.encode()
	is.NoErr(err)
	t.Logf("%d bytes with %d patches", len(value), len(record.History()))
	is.True(len(value) < platform.MaxValueBytes*2/3)
	back, err := DecodeRecord(value, 1)
	is.NoErr(err)
	is.Equal(len(back.History()), MaxHistory)
	value[len(value)/2] ^= 1
	_, err = DecodeRecord(value, 1)
	is.True(err != nil) // a corrupt record is never accepted
}

// largeDocument has 6,200 accounts, 8 zones, 37 models and 600 targets.
func largeDocument() string {
	var b strings.Builder
	b.WriteString(`{"accounts": {`)
	for i := range 6200 {
		digest := sha256.Sum256(fmt.Appendf(nil, "key %d", i))
		fmt.Fprintf(&b, `%s"account-%04d": {"weight": %d, "key_sha256": ["%s"]}`, comma(i), i, i%5+1, hex.EncodeToString(digest[:]))
	}
	b.WriteString(`}, "zones": {`)
	for i := range 8 {
		fmt.Fprintf(&b, `%s"zone-%d": {"region": "region-%d"}`, comma(i), i, i/4)
	}
	b.WriteString(`}, "services": {`)
	for i := range 37 {
		fmt.Fprintf(&b, `%s"model-%d": {"version": "v1"}`, comma(i), i)
	}
	b.WriteString(`}, "targets": {`)
	for i := range 600 {
		fmt.Fprintf(&b, `%s"target-%03d": {"service": "model-%d", "version": "v1", "zone": "zone-%d", "sidecar_addr": "10.%d.%d.1:7000"}`,
			comma(i), i, i%37, i%8, i/256, i%256)
	}
	b.WriteString(`}}`)
	return b.String()
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}
