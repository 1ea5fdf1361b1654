package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/settings"
)

const operatorToken = "0123456789abcdef"

func newConfigHandler() (http.Handler, *platform.Memory) {
	memory, store := platform.NewMemory(), configstore.NewStore()
	mux := httprouter.New()
	(&ConfigHandler{Editor: configstore.NewEditor(memory, store), Store: store}).Register(mux)
	return RequireToken(settings.NewSecret(operatorToken), mux), memory
}

// send sends a request as an operator. Headers are pairs of name and value.
func send(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func sendPatch(h http.Handler, match, body string) *httptest.ResponseRecorder {
	return send(h, http.MethodPatch, "/v1/config", body, "Content-Type", MergePatchType, "If-Match", match)
}

func TestRejectedPatchReportsFaultsAndCurrentNumber(t *testing.T) {
	tests := []struct {
		name, body string
		headers    []string
		status     int
		kind       errkind.Kind
	}{
		{"no number", `{}`, []string{"Content-Type", MergePatchType}, http.StatusPreconditionRequired, errkind.PreconditionRequired},
		{"no media type", `{}`, []string{"If-Match", "1"}, http.StatusBadRequest, errkind.Malformed},
		{"another media type", `{}`, []string{"If-Match", "1", "Content-Type", "application/json"}, http.StatusBadRequest, errkind.Malformed},
		{"two numbers", `{}`, []string{"If-Match", "1", "If-Match", "2", "Content-Type", MergePatchType}, http.StatusBadRequest, errkind.Malformed},
		{"wildcard number", `{}`, []string{"If-Match", "*", "Content-Type", MergePatchType}, http.StatusBadRequest, errkind.Malformed},
		{"unbalanced quote", `{}`, []string{"If-Match", `"1`, "Content-Type", MergePatchType}, http.StatusBadRequest, errkind.Malformed},
		{"stale", `{}`, []string{"If-Match", `"0"`, "Content-Type", MergePatchType}, http.StatusPreconditionFailed, errkind.StalePatch},
		{"ahead", `{}`, []string{"If-Match", `"9"`, "Content-Type", MergePatchType}, http.StatusPreconditionFailed, errkind.StalePatch},
		{"invalid JSON", `{`, []string{"If-Match", `"1"`, "Content-Type", MergePatchType}, http.StatusBadRequest, errkind.Malformed},
		{"too large", `{"zones":{"` + strings.Repeat("z", MaxPatchBytes) + `":{}}}`, []string{"If-Match", `"1"`, "Content-Type", MergePatchType},
			http.StatusRequestEntityTooLarge, errkind.TooLarge},
		{"two validation errors", `{"zone":{},"zones":{"a":{"state":"gone"}}}`, []string{"If-Match", `"1"`, "Content-Type", MergePatchType + "; charset=utf-8"},
			http.StatusUnprocessableEntity, errkind.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, _ := newConfigHandler()
			is.Equal(sendPatch(h, "0", `{"zones":{"a":{}}}`).Code, http.StatusOK)
			w := send(h, http.MethodPatch, "/v1/config", tt.body, tt.headers...)
			is.Equal(w.Code, tt.status)
			var refused Refusal
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &refused))
			is.Equal(refused.Error.Kind, tt.kind)
			is.True(refused.Error.NotRun)
			if tt.kind == errkind.StalePatch {
				is.Equal(refused.Error.CurrentNumber, uint64(1))
				is.Equal(w.Header().Get("ETag"), `"1"`)
			}
			if tt.kind == errkind.Invalid {
				is.Equal(refused.Error.Faults, []configstore.Fault{
					{Field: "zone", Message: "unknown field"}, {Field: "zones.a.state", Message: "must be one of in, out"},
				})
			}
			is.Equal(send(h, http.MethodGet, "/v1/config", "").Header().Get("ETag"), `"1"`) // nothing changed
		})
	}
}

func TestPatchUpdatesConfigAndHistoryAndReadsSurviveOutage(t *testing.T) {
	is := is.New(t)
	h, memory := newConfigHandler()
	empty := send(h, http.MethodGet, "/v1/config", "")
	is.Equal(empty.Code, http.StatusOK)
	is.Equal(empty.Header().Get("ETag"), `"0"`)
	accepted := sendPatch(h, `"0"`, `{"zones": {"a": {"state": "out"}}}`)
	is.Equal(accepted.Code, http.StatusOK)
	is.Equal(accepted.Header().Get("ETag"), `"1"`)
	is.Equal(sendPatch(h, "1", `{"zones": {"a": null}}`).Code, http.StatusOK)

	w := send(h, http.MethodGet, "/v1/config/history?limit=1", "")
	var history History
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &history))
	is.Equal(len(history.Patches), 1)
	is.Equal(history.Patches[0].Number, uint64(2))
	var patch map[string]map[string]any
	is.NoErr(json.Unmarshal(history.Patches[0].Patch, &patch))
	is.Equal(patch, map[string]map[string]any{"zones": {"a": nil}})

	memory.SetFaults(platform.Faults{Down: true})
	is.Equal(send(h, http.MethodGet, "/v1/config", "").Body.String(), "{\n  \"number\": \"2\"\n}\n") // reads still work during an outage
	down := sendPatch(h, "2", `{}`)
	is.Equal(down.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(down.Body.String(), `"not_run":true`))
	is.Equal(send(h, http.MethodGet, "/v1/config/history", "").Code, http.StatusServiceUnavailable)
}

func TestConfigRequiresTheOperatorToken(t *testing.T) {
	is := is.New(t)
	h, memory := newConfigHandler()
	before := memory.Calls()
	for _, method := range []string{http.MethodGet, http.MethodPatch} {
		r := httptest.NewRequest(method, "/v1/config", strings.NewReader(`{}`))
		r.Header.Set("Authorization", "Bearer "+operatorToken[1:])
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusUnauthorized)
	}
	is.Equal(memory.Calls(), before)
}
