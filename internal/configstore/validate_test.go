package configstore

import (
	"testing"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	digestA   = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	validJSON = `{
	"accounts": {"village": {"weight": 1, "key_sha256": ["` + digestA + `"]}},
	"zones": {"z1": {"region": "west"}, "z2": {}},
	"services": {"chat": {"version": "v1"}, "book": {"kind": "plain", "version": "v1", "units_per_request": 100,
		"not_repeatable": [{"method": "POST", "path_prefix": "/book"}], "timeout": "30s"}},
	"targets": {
		"t1": {"service": "chat", "version": "v1", "zone": "z1", "sidecar_addr": "127.0.0.1:7001"},
		"t2": {"service": "chat", "version": "v2", "zone": "z2", "sidecar_addr": "127.0.0.1:7002"}},
	"moves": {"m1": {"service": "chat", "from_version": "v1", "to_version": "v2", "deadline": "2026-01-31T08:00:00Z", "small_share": 0.05}}
}`
)

func validDoc(t *testing.T) *zinniaquayv1.Configuration {
	t.Helper()
	doc, found, err := FromJSON([]byte(validJSON))
	if err != nil || len(found) > 0 {
		t.Fatal(err, found)
	}
	return doc
}

func TestRejectedPatchListsEveryFaultByField(t *testing.T) {
	tests := []struct {
		name, patch string
		fields      []string
	}{
		{"valid patch", `{"zones": {"z1": {"state": "out"}}}`, nil},
		{"unknown fields, null values included",
			`{"zone": {}, "zones": {"z1": {"stat": null}}, "services": {"book": {"not_repeatable": [{"verb": "GET"}]}}}`,
			[]string{"services.book.not_repeatable[0].verb", "zone", "zones.z1.stat"}},
		{"camel case names of the JSON encoding", `{"accounts": {"village": {"keySha256": []}}}`, []string{"accounts.village.keySha256"}},
		{"wrong types", `{"accounts": {"village": {"weight": "heavy", "max_waiting": -1, "key_sha256": [1]}}, "zones": [],
			"services": {"chat": {"timeout": "soon", "kind": "odd"}}}`,
			[]string{"accounts.village.key_sha256", "accounts.village.max_waiting", "accounts.village.weight",
				"services.chat.kind", "services.chat.timeout", "zones"}},
		{"configuration number", `{"number": 7}`, []string{"number"}},
		{"accounts", `{"accounts": {"bad name": {}, "a": {"weight": -1, "max_waiting": 1000000, "key_sha256": ["short"]},
			"b": {"weight": "NaN", "key_sha256": ["` + digestA + `"]}}}`,
			[]string{"accounts.a.key_sha256", "accounts.a.max_waiting", "accounts.a.weight", "accounts.b.key_sha256",
				"accounts.b.weight", "accounts.bad name", "accounts.village.key_sha256"}},
		{"services", `{"services": {"s": {"units_per_request": -1, "timeout": "0s",
			"not_repeatable": [{"method": "post", "path_prefix": "book"}]}}}`,
			[]string{"services.s.not_repeatable.method", "services.s.not_repeatable.path_prefix", "services.s.timeout",
				"services.s.units_per_request", "services.s.version"}},
		{"targets", `{"targets": {"t1": {"service": "no", "zone": "no", "version": "", "sidecar_addr": "host:1",
			"cold_time": "0s", "cold_running": 20, "max_running": 3}, "t3": {"service": "chat", "version": "v1", "zone": "z1",
			"sidecar_addr": "127.0.0.1:7002", "max_running": 70000}}}`,
			[]string{"targets.t1.cold_running", "targets.t1.cold_time", "targets.t1.service", "targets.t1.sidecar_addr",
				"targets.t1.version", "targets.t1.zone", "targets.t2.sidecar_addr", "targets.t3.max_running", "targets.t3.sidecar_addr"}},
		{"deleting a zone that has targets", `{"zones": {"z2": null, "z3": {"region": "far west"}}}`,
			[]string{"targets.t2.zone", "zones.z3.region"}},
		{"moves", `{"services": {"chat": {"version": "v0"}}, "moves": {"m1": {"to_version": "v3", "small_share": 1.5, "deadline": null},
			"m2": {"service": "no", "from_version": "a", "to_version": "a", "deadline": "2026-01-31T08:00:00Z"}}}`,
			[]string{"moves.m1.deadline", "moves.m1.from_version", "moves.m1.small_share", "moves.m1.to_version",
				"moves.m2.service", "moves.m2.to_version"}},
		{"two moves of one service", `{"moves": {"m2": {"service": "chat", "from_version": "v1", "to_version": "v2",
			"deadline": "2026-01-31T08:00:00Z"}}}`, []string{"moves.m1.service", "moves.m2.service"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := validDoc(t)
			next, found, err := applyPatch(doc, []byte(tt.patch))
			is.NoErr(err)
			var fields []string
			for _, f := range found {
				fields = append(fields, f.Field)
				is.True(f.Message != "")
			}
			is.Equal(fields, tt.fields)
			is.Equal(next != nil, len(found) == 0)
			is.Equal(Digest(doc), Digest(validDoc(t))) // the document is not modified
		})
	}
}

func TestMalformedPatchesAreRejected(t *testing.T) {
	for _, patch := range []string{``, `{`, `null`, `[]`, `"x"`, `{} {}`, `{"zones": {"z1": nul}}`} {
		if _, _, err := applyPatch(validDoc(t), []byte(patch)); err == nil {
			t.Errorf("malformed patch %q was accepted", patch)
		}
	}
}
