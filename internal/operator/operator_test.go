package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/report"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// singleProcessFleet is a fleet of one process.
type singleProcessFleet struct{}

func (singleProcessFleet) Configuration() *zinniaquayv1.Configuration { return nil }

func (singleProcessFleet) Processes() []report.Process {
	return []report.Process{{Name: "router-1", Status: func(context.Context) (*zinniaquayv1.StatusResponse, error) {
		return &zinniaquayv1.StatusResponse{Member: &zinniaquayv1.Member{Role: zinniaquayv1.Member_router}}, nil
	}}}
}

func newReportHandler() http.Handler {
	stamp := uint64(0)
	recorder := timeline.NewRecorder("router-1", 9, func() uint64 { stamp++; return stamp }, metrics.NewRegistry())
	recorder.Record(timeline.RequestAccepted, "r-1", "village")
	recorder.Record(timeline.RequestAccepted, "r-2", "city")
	silent := func(context.Context, *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
		return nil, errors.New("no response")
	}
	mux := httprouter.New()
	(&ReportHandler{
		Collector: report.NewCollector(singleProcessFleet{}),
		Sources: func() []timeline.Source {
			return []timeline.Source{{Process: "router-1", Events: recorder.Events}, {Process: "router-2", Events: silent}}
		},
	}).Register(mux)
	return RequireToken(settings.NewSecret("0123456789abcdef"), mux)
}

func get(h http.Handler, path string, authorize func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	authorize(r)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func bearer(token string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+token) }
}

func TestReportsRequireTheOperatorToken(t *testing.T) {
	is := is.New(t)
	h := newReportHandler()
	for _, path := range []string{"/", "/v1/report", "/v1/status", "/v1/timeline", "/elsewhere"} {
		is.Equal(get(h, path, func(*http.Request) {}).Code, http.StatusUnauthorized)
		is.Equal(get(h, path, bearer("")).Code, http.StatusUnauthorized)
		is.Equal(get(h, path, bearer("0123456789abcdeg")).Code, http.StatusUnauthorized)
	}
	is.Equal(get(h, "/", bearer("0123456789abcdef")).Code, http.StatusOK)
	browser := get(h, "/", func(r *http.Request) { r.SetBasicAuth("anyone", "0123456789abcdef") })
	is.Equal(browser.Code, http.StatusOK)
	is.True(strings.Contains(browser.Body.String(), "Fleet report"))
}

func TestTimelineFiltersByRequestIDAndListsSilentProcesses(t *testing.T) {
	is := is.New(t)
	w := get(newReportHandler(), "/v1/timeline?request_id=r-2", bearer("0123456789abcdef"))
	var view timeline.View
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &view))
	is.Equal(len(view.Events), 1)
	is.Equal(view.Events[0].Detail, "city")
	is.Equal(view.Silent, []string{"router-2"})
	for _, query := range []string{"limit=x", "limit=4294967296", "after=-1"} {
		is.Equal(get(newReportHandler(), "/v1/timeline?"+query, bearer("0123456789abcdef")).Code, http.StatusBadRequest)
	}
}
