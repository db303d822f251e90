package telemetry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// MetricsHandler returns a handler that serves all metrics of the registry as one
// JSON object.
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r, w)
	})
}
