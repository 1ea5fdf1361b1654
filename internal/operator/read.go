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

// defaultEvents is the number of events that are shown unless more are asked
// for.
const defaultEvents = 1000

// Reader serves the report and the time line.
type Reader struct {
	// Collector gathers the report.
	Collector *report.Collector
	// Sources returns the processes that can be asked for their events.
	Sources func() []timeline.Source
}

// Register adds the reader's paths.
func (o *Reader) Register(mux *httprouter.Router) {
	mux.HandlerFunc(http.MethodGet, "/", o.page)
	mux.HandlerFunc(http.MethodGet, "/v1/report", o.report)
	mux.HandlerFunc(http.MethodGet, "/v1/status", o.status)
	mux.HandlerFunc(http.MethodGet, "/v1/timeline", o.timeline)
}

func (o *Reader) page(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	// The operator may have gone; there is nobody left to tell.
	_ = o.Collector.Report(r.Context()).WriteHTML(w)
}

func (o *Reader) report(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, o.Collector.Report(r.Context()))
}

// Status is the part of the report that tells of the processes.
type Status struct {
	// Processes are the processes of the fleet.
	Processes []report.ProcessRow `json:"processes"`
	// Silent names those that did not answer.
	Silent []string `json:"silent"`
}

func (o *Reader) status(w http.ResponseWriter, r *http.Request) {
	all := o.Collector.Report(r.Context())
	writeJSON(w, Status{Processes: all.Processes, Silent: all.Silent})
}

func (o *Reader) timeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := number(query.Get("limit"), defaultEvents, math.MaxUint32)
	if err != nil {
		errkind.Write(w, errkind.New(errkind.Malformed, "limit is not a number of events"))
		return
	}
	after, err := number(query.Get("after"), 0, math.MaxUint64)
	if err != nil {
		errkind.Write(w, errkind.New(errkind.Malformed, "after is not a clock"))
		return
	}
	writeJSON(w, timeline.Collect(r.Context(), o.Sources(), &zinniaquayv1.EventsRequest{
		AfterClock: after,
		Limit:      uint32(limit), // at most its largest value, by the check
		RequestId:  query.Get("request_id"),
	}).View())
}

// number reads a decimal number up to most, or returns the default for "".
func number(text string, def, most uint64) (uint64, error) {
	if text == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err == nil && n > most {
		err = strconv.ErrRange
	}
	return n, err
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The operator may have gone; there is nobody left to tell.
	_ = encoder.Encode(v)
}
