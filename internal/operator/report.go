package operator

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/report"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// defaultEventLimit is the number of events returned when the request has no
// limit.
const defaultEventLimit = 1000

// ReportHandler serves the fleet report and the event timeline.
type ReportHandler struct {
	// Collector builds the report.
	Collector *report.Collector
	// Sources returns the processes whose events can be queried.
	Sources func() []timeline.Source
}

// Register adds the report routes to the mux.
func (o *ReportHandler) Register(mux *httprouter.Router) {
	mux.HandlerFunc(http.MethodGet, "/", o.page)
	mux.HandlerFunc(http.MethodGet, "/v1/report", o.report)
	mux.HandlerFunc(http.MethodGet, "/v1/status", o.status)
	mux.HandlerFunc(http.MethodGet, "/v1/timeline", o.timeline)
}

func (o *ReportHandler) page(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	// A write error means that the client has disconnected.
	_ = o.Collector.Report(r.Context()).WriteHTML(w)
}

func (o *ReportHandler) report(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, o.Collector.Report(r.Context()))
}

// Status is the part of the report about the processes of the fleet.
type Status struct {
	Processes []report.ProcessRow `json:"processes"`
	// Silent lists the names of processes that did not respond.
	Silent []string `json:"silent"`
}

func (o *ReportHandler) status(w http.ResponseWriter, r *http.Request) {
	all := o.Collector.Report(r.Context())
	writeJSON(w, Status{Processes: all.Processes, Silent: all.Silent})
}

func (o *ReportHandler) timeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := parseUint(query.Get("limit"), defaultEventLimit, math.MaxUint32)
	if err != nil {
		errkind.Write(w, errkind.New(errkind.Malformed, "limit is not a number of events"))
		return
	}
	after, err := parseUint(query.Get("after"), 0, math.MaxUint64)
	if err != nil {
		errkind.Write(w, errkind.New(errkind.Malformed, "after is not a clock"))
		return
	}
	writeJSON(w, timeline.Collect(r.Context(), o.Sources(), &zinniaquayv1.EventsRequest{
		AfterClock: after,
		Limit:      uint32(limit), // parseUint limits it to MaxUint32
		RequestId:  query.Get("request_id"),
	}).View())
}

// parseUint parses a decimal number up to maxValue. It returns defaultValue for
// "".
func parseUint(text string, defaultValue, maxValue uint64) (uint64, error) {
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err == nil && n > maxValue {
		err = strconv.ErrRange
	}
	return n, err
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write error means that the client has disconnected.
	_ = encoder.Encode(v)
}
