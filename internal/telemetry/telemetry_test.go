package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestLogLinesAreJSONWithProcessName(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := NewLogger(&out, "info", "router-1")
	is.NoErr(err)
	log.V(1).Info("hidden")
	log.Error(errors.New("boom"), "failed", KeyRequest, "r-1")
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // one line only: debug is hidden
	is.Equal(line["process"], "router-1")
	is.Equal(line["request_id"], "r-1")
	is.Equal(line["error"], "boom")
	_, err = NewLogger(&out, "loud", "router-1")
	is.True(err != nil)
}

func TestMetricsTextIsSortedAndTyped(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(Name("refused_total", "kind", "queue_full"), r).Inc(3)
	metrics.GetOrRegisterCounter(Name("refused_total", "kind", "draining"), r).Inc(1)
	metrics.GetOrRegisterGauge("waiting.requests", r).Update(7)
	h := metrics.NewHistogram(metrics.NewUniformSample(8))
	is.NoErr(r.Register(Name("first_byte_microseconds", "service", "m"), h))
	h.Update(5)
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.Equal(w.Body.String(), `# TYPE zinniaquay_first_byte_microseconds summary
zinniaquay_first_byte_microseconds{service="m",quantile="0.5"} 5
zinniaquay_first_byte_microseconds{service="m",quantile="0.95"} 5
zinniaquay_first_byte_microseconds{service="m",quantile="0.99"} 5
# TYPE zinniaquay_first_byte_microseconds_count counter
zinniaquay_first_byte_microseconds_count{service="m"} 1
# TYPE zinniaquay_first_byte_microseconds_sum counter
zinniaquay_first_byte_microseconds_sum{service="m"} 5
# TYPE zinniaquay_refused_total counter
zinniaquay_refused_total{kind="draining"} 1
zinniaquay_refused_total{kind="queue_full"} 3
# TYPE zinniaquay_waiting_requests gauge
zinniaquay_waiting_requests 7
`)
}
