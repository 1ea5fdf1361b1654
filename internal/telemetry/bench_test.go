package telemetry

import (
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// BenchmarkRequestEndedLogLine logs a line with the fields that are logged at the
// end of a request.
func BenchmarkRequestEndedLogLine(b *testing.B) {
	out := NewBounded(io.Discard, metrics.NewRegistry())
	defer out.Close()
	log, err := NewLogger(out, "info", "edge-1")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request ended", KeyRequest, "ff133f35a9d572eb", "took_ms", int64(36), "config", int64(4), "tried", 1,
			"events", 20, "first_ms", int64(36), "longest_gap_ms", int64(12), "route", "chat", "objective_ms", int64(300))
	}
}
