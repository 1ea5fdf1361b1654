package telemetry

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Prefix is the prefix of every metric name on /metrics.
const Prefix = "zinniaquay_"

// Name returns the name under which a metric is registered. Labels are given as
// pairs of key and value: Name("refused_total", "kind", "queue_full") is
// refused_total{kind="queue_full"}. Names end in their unit, or in _total for
// counters.
func Name(family string, labels ...string) string {
	if len(labels) < 2 {
		return family
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return family + "{" + strings.Join(pairs, ",") + "}"
}

// Handler serves the metrics of a registry in the Prometheus text format.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		// The client may have disconnected; an error can't be reported to anyone.
		_ = Write(w, registry)
	})
}

// Write writes all metrics of a registry, sorted by name, in the Prometheus text
// format.
func Write(w io.Writer, registry metrics.Registry) error {
	var lines []series
	registry.Each(func(name string, metric any) {
		lines = append(lines, seriesOf(name, metric)...)
	})
	slices.SortFunc(lines, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.family, b.family), cmp.Compare(a.labels, b.labels))
	})
	previous := ""
	for _, s := range lines {
		if s.family != previous {
			if _, err := fmt.Fprintf(w, "# TYPE %s%s %s\n", Prefix, s.family, s.kind); err != nil {
				return err
			}
			previous = s.family
		}
		if _, err := fmt.Fprintf(w, "%s%s%s %v\n", Prefix, s.family, s.labels, s.value); err != nil {
			return err
		}
	}
	return nil
}

// series is one sample line of the text format.
type series struct {
	family, labels, kind string
	value                any
}

// quantiles are the quantiles exported for a distribution.
var quantiles = []float64{0.5, 0.95, 0.99}

// nameReplacer replaces characters that metric names in the text format can't
// contain.
var nameReplacer = strings.NewReplacer(".", "_", "-", "_")

func seriesOf(name string, metric any) []series {
	family, rest, labelled := strings.Cut(name, "{")
	family = nameReplacer.Replace(family)
	labels := ""
	if labelled {
		labels = "{" + rest
	}
	switch m := metric.(type) {
	case metrics.Counter:
		return []series{{family, labels, "counter", m.Count()}}
	case metrics.Gauge:
		return []series{{family, labels, "gauge", m.Value()}}
	case metrics.GaugeFloat64:
		return []series{{family, labels, "gauge", m.Value()}}
	case metrics.Meter:
		return []series{{family, labels, "counter", m.Count()}}
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(family, labels, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		return summary(family, labels, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
	return nil
}

func summary(family, labels string, values []float64, sum, count int64) []series {
	lines := make([]series, 0, len(values)+2)
	for i, v := range values {
		lines = append(lines, series{family, withLabel(labels, fmt.Sprintf("quantile=\"%g\"", quantiles[i])), "summary", v})
	}
	return append(lines,
		series{family + "_sum", labels, "counter", sum},
		series{family + "_count", labels, "counter", count})
}

func withLabel(labels, label string) string {
	if labels == "" {
		return "{" + label + "}"
	}
	return strings.TrimSuffix(labels, "}") + "," + label + "}"
}
