package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of values in the sample of a histogram, and
	// sampleDecay the exponential factor by which it prefers recent values.
	sampleSize  = 512
	sampleDecay = 0.015
)

// ObserveDuration adds d, in whole milliseconds, to the named histogram. It creates
// the histogram if needed, and does nothing if the name belongs to another kind of
// metric.
func ObserveDuration(r metrics.Registry, name string, d time.Duration) {
	h, ok := r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram)
	if ok {
		h.Update(d.Milliseconds())
	}
}
