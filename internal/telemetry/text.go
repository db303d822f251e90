package telemetry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// percentiles are the histogram percentiles that FormatMetrics includes.
var percentiles = []float64{0.5, 0.9, 0.99}

// MetricsTextHandler returns a handler that serves the metrics of the registry in
// the format of FormatMetrics.
func MetricsTextHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprint(w, FormatMetrics(r)) // the requester notices a failed response
	})
}

// FormatMetrics returns the counters, gauges and histograms of the registry, one
// "name value" line each, sorted. A histogram has lines for its count, maximum and
// percentiles.
func FormatMetrics(r metrics.Registry) string {
	var lines []string
	line := func(name string, value any) { lines = append(lines, fmt.Sprintf("%s %v\n", name, value)) }
	r.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			line(name, m.Count())
		case metrics.Gauge:
			line(name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			line(name+".count", s.Count())
			line(name+".max", s.Max())
			for i, value := range s.Percentiles(percentiles) {
				line(fmt.Sprintf("%s.p%.0f", name, 100*percentiles[i]), int64(value))
			}
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}
