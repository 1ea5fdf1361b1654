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
	// MaxPatchBytes is the largest patch that is taken.
	MaxPatchBytes = 4 << 20
	// MergePatchType is the media type of patches.
	MergePatchType = "application/merge-patch+json"
	// patchTimeout bounds the whole handling of a patch.
	patchTimeout = 15 * time.Second
	// defaultHistory is the number of patches that are shown unless more are
	// asked for.
	defaultHistory = 100
)

// Config serves the configuration to operators and takes their patches.
type Config struct {
	// Editor commits patches.
	Editor *configstore.Editor
	// Store holds the configuration in force at this router.
	Store *configstore.Store
	// Accepted is told of each accepted patch; nil for nobody.
	Accepted func(configstore.Result)
}

// Register adds the paths of the configuration.
func (c *Config) Register(mux *httprouter.Router) {
	mux.HandlerFunc(http.MethodGet, "/v1/config", c.get)
	mux.HandlerFunc(http.MethodPatch, "/v1/config", c.patch)
	mux.HandlerFunc(http.MethodGet, "/v1/config/history", c.history)
}

// Accepted is the answer to a patch that was committed.
type Accepted struct {
	// Number of the configuration that the patch led to.
	Number uint64 `json:"number"`
	// PatchID is the patch's identity in the history.
	PatchID string `json:"patch_id"`
}

// Refusal is the body of a refusal; it adds to the one shape of refusals what
// helps to mend a patch.
type Refusal struct {
	// Error describes the refusal.
	Error RefusalDetail `json:"error"`
}

// RefusalDetail is the inner object of a refusal.
type RefusalDetail struct {
	errkind.Detail
	// Faults lists everything that is wrong with an invalid patch.
	Faults []configstore.Fault `json:"faults,omitempty"`
	// CurrentNumber is the number in force where a patch was stale.
	CurrentNumber uint64 `json:"current_number,omitempty"`
}

// History is a list of accepted patches, the newest first.
type History struct {
	// Patches that were accepted.
	Patches []HistoryPatch `json:"patches"`
}

// HistoryPatch is one accepted patch.
type HistoryPatch struct {
	// Number of the configuration that the patch led to.
	Number uint64 `json:"number"`
	// ID is the patch's identity.
	ID string `json:"id"`
	// Time of acceptance by the clock of the accepting router.
	Time time.Time `json:"time"`
	// Patch is the merge patch; null once it is dropped for its size or age.
	Patch json.RawMessage `json:"patch"`
}

// get returns the configuration in force at this router. It works during an
// outage of the platform.
func (c *Config) get(w http.ResponseWriter, r *http.Request) {
	doc, err := c.current(r)
	if err != nil {
		refuse(w, err)
		return
	}
	data, err := configstore.ToJSON(doc)
	if err != nil {
		refuse(w, err)
		return
	}
	var body bytes.Buffer
	// The JSON was made here, so it can be indented.
	_ = json.Indent(&body, data, "", "  ")
	body.WriteByte('\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("ETag", etag(doc.GetNumber()))
	// The operator may have gone; there is nobody left to tell.
	_, _ = w.Write(body.Bytes())
}

// current returns the configuration in force, or the empty one of number 0 where
// the platform says that none was committed yet.
func (c *Config) current(r *http.Request) (*zinniaquayv1.Configuration, error) {
	if snap := c.Store.Current(); snap != nil {
		return snap.Doc, nil
	}
	record, err := c.Editor.Load(r.Context())
	if err != nil {
		return nil, errkind.Wrap(errkind.NoConfiguration, err, "this router has no configuration yet and the platform does not answer")
	}
	return record.Doc(), nil
}

func (c *Config) patch(w http.ResponseWriter, r *http.Request) {
	number, err := ifMatch(r)
	if err != nil {
		refuse(w, err)
		return
	}
	if media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || media != MergePatchType {
		refuse(w, errkind.New(errkind.Malformed, "the content type must be %s", MergePatchType))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxPatchBytes))
	if err != nil {
		refuse(w, bodyError(err))
		return
	}
	// A patch that was offered to the platform is seen through, even if the
	// operator's connection breaks meanwhile.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), patchTimeout)
	defer cancel()
	result, err := c.Editor.Patch(ctx, number, body)
	if err != nil {
		refuse(w, err)
		return
	}
	if c.Accepted != nil {
		c.Accepted(result)
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

// ifMatch returns the number that a patch was made against.
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

// history returns the newest accepted patches as the platform holds them.
func (c *Config) history(w http.ResponseWriter, r *http.Request) {
	limit, err := number(r.URL.Query().Get("limit"), defaultHistory, configstore.MaxHistory)
	if err != nil {
		refuse(w, errkind.New(errkind.Malformed, "limit must be a number of patches up to %d", configstore.MaxHistory))
		return
	}
	record, err := c.Editor.Load(r.Context())
	if err != nil {
		refuse(w, err)
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

// refuse sends a refusal with all that helps to mend the patch.
func refuse(w http.ResponseWriter, err error) {
	body := Refusal{Error: RefusalDetail{Detail: errkind.BodyOf(err).Error, Faults: configstore.FaultsOf(err)}}
	if current, ok := configstore.CurrentOf(err); ok {
		body.Error.CurrentNumber = current
		w.Header().Set("ETag", etag(current))
	}
	errkind.WriteBody(w, err, body)
}

func etag(number uint64) string { return `"` + strconv.FormatUint(number, 10) + `"` }
