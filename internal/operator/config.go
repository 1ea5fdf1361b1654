package operator

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

const (
	// MaxPatchBytes is the maximum size of a patch.
	MaxPatchBytes = 4 << 20
	// MergePatchType is the media type of patches.
	MergePatchType = "application/merge-patch+json"
	// patchTimeout bounds the handling of a patch request from end to end.
	patchTimeout = 15 * time.Second
	// defaultHistoryLimit is the number of patches returned when the request has
	// no limit.
	defaultHistoryLimit = 100
)

// ConfigHandler serves the configuration to operators and accepts their patches.
type ConfigHandler struct {
	// Editor commits patches to the platform.
	Editor *configstore.Editor
	// Store holds the configuration in force at this router.
	Store *configstore.Store
	// OnAccepted, if set, is called after each accepted patch.
	OnAccepted func(configstore.Result)
}

// Register adds the configuration routes to the mux.
func (c *ConfigHandler) Register(mux *httprouter.Router) {
	mux.HandlerFunc(http.MethodGet, "/v1/config", c.get)
	mux.HandlerFunc(http.MethodPatch, "/v1/config", c.patch)
	mux.HandlerFunc(http.MethodGet, "/v1/config/history", c.history)
}

// Accepted is the response to a patch that was committed.
type Accepted struct {
	// Number of the configuration that resulted from the patch.
	Number uint64 `json:"number"`
	// PatchID identifies the patch in the history.
	PatchID string `json:"patch_id"`
}

// Refusal is the body of an error response. It extends the common error body
// with what an operator needs to correct a patch.
type Refusal struct {
	// Error describes why the request was rejected.
	Error RefusalDetail `json:"error"`
}

// RefusalDetail is the error object of a Refusal.
type RefusalDetail struct {
	errkind.Detail
	// Faults lists all validation errors of an invalid patch.
	Faults []configstore.Fault `json:"faults,omitempty"`
	// CurrentNumber is the configuration number in force when a patch was stale.
	CurrentNumber uint64 `json:"current_number,omitempty"`
}

// History is a list of accepted patches, newest first.
type History struct {
	Patches []HistoryPatch `json:"patches"`
}

// HistoryPatch is one accepted patch.
type HistoryPatch struct {
	// Number of the configuration that resulted from the patch.
	Number uint64 `json:"number"`
	// ID identifies the patch, in hexadecimal.
	ID string `json:"id"`
	// Time at which the patch was accepted, by the accepting router's clock.
	Time time.Time `json:"time"`
	// Patch is the merge patch, or null once it was dropped for its size or age.
	Patch json.RawMessage `json:"patch"`
}

// get returns the configuration in force at this router. It also works during a
// platform outage.
func (c *ConfigHandler) get(w http.ResponseWriter, r *http.Request) {
	doc, err := c.current(r)
	if err != nil {
		writeError(w, err)
		return
	}
	data, err := configstore.ToJSON(doc)
	if err != nil {
		writeError(w, err)
		return
	}
	var body bytes.Buffer
	// ToJSON produced the JSON, so Indent can't fail.
	_ = json.Indent(&body, data, "", "  ")
	body.WriteByte('\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("ETag", etag(doc.GetNumber()))
	// A write error means that the client has disconnected.
	_, _ = w.Write(body.Bytes())
}

// current returns the configuration in force. Without one it asks the platform,
// which returns an empty configuration with number 0 if none was committed yet.
func (c *ConfigHandler) current(r *http.Request) (*zinniaquayv1.Configuration, error) {
	if snap := c.Store.Current(); snap != nil {
		return snap.Doc, nil
	}
	record, err := c.Editor.Load(r.Context())
	if err != nil {
		return nil, errkind.Wrap(errkind.NoConfiguration, err, "this router has no configuration yet and the platform does not answer")
	}
	return record.Doc(), nil
}

func (c *ConfigHandler) patch(w http.ResponseWriter, r *http.Request) {
	number, err := ifMatch(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || media != MergePatchType {
		writeError(w, errkind.New(errkind.Malformed, "the content type must be %s", MergePatchType))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxPatchBytes))
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	// Once a patch is sent to the platform it is carried to completion, even if
	// the operator's connection breaks meanwhile.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), patchTimeout)
	defer cancel()
	result, err := c.Editor.Patch(ctx, number, body)
	if err != nil {
		writeError(w, err)
		return
	}
	if c.OnAccepted != nil {
		c.OnAccepted(result)
	}
	w.Header().Set("ETag", etag(result.Number))
	writeJSON(w, Accepted{Number: result.Number, PatchID: result.PatchID})
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "a patch may have at most %d bytes", MaxPatchBytes)
	}
	return errkind.Wrap(errkind.Malformed, err, "the patch was cut off")
}

// ifMatch returns the configuration number that a patch is based on.
func ifMatch(r *http.Request) (uint64, error) {
	values := r.Header.Values("If-Match")
	if len(values) == 0 {
		return 0, errkind.New(errkind.PreconditionRequired, "name the number that the patch was made against in If-Match")
	}
	text := strings.TrimSpace(values[0])
	if unquoted, ok := strings.CutPrefix(text, `"`); ok {
		text, ok = strings.CutSuffix(unquoted, `"`)
		if !ok {
			text = ""
		}
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || len(values) > 1 {
		return 0, errkind.New(errkind.Malformed, `If-Match must be one number such as "12"`)
	}
	return number, nil
}

// history returns the newest accepted patches that the platform stores.
func (c *ConfigHandler) history(w http.ResponseWriter, r *http.Request) {
	limit, err := parseUint(r.URL.Query().Get("limit"), defaultHistoryLimit, configstore.MaxHistory)
	if err != nil {
		writeError(w, errkind.New(errkind.Malformed, "limit must be a number of patches up to %d", configstore.MaxHistory))
		return
	}
	record, err := c.Editor.Load(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	history := History{Patches: []HistoryPatch{}}
	for _, p := range slices.Backward(record.History()) {
		if uint64(len(history.Patches)) == limit {
			break
		}
		entry := HistoryPatch{Number: p.GetNumber(), ID: hex.EncodeToString(p.GetId()), Time: time.UnixMilli(p.GetUnixMs()).UTC()}
		if len(p.GetPatch()) > 0 {
			entry.Patch = p.GetPatch()
		}
		history.Patches = append(history.Patches, entry)
	}
	writeJSON(w, history)
}

// writeError sends an error response with the details needed to correct a patch.
func writeError(w http.ResponseWriter, err error) {
	body := Refusal{Error: RefusalDetail{Detail: errkind.BodyOf(err).Error, Faults: configstore.FaultsOf(err)}}
	if current, ok := configstore.CurrentOf(err); ok {
		body.Error.CurrentNumber = current
		w.Header().Set("ETag", etag(current))
	}
	errkind.WriteBody(w, err, body)
}

func etag(number uint64) string { return `"` + strconv.FormatUint(number, 10) + `"` }
