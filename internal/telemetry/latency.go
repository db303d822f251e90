package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleDecay set how many latencies a histogram holds and how
	// fast it forgets.
	sampleSize  = 512
	sampleDecay = 0.015
)

// ObserveDuration adds a duration, in milliseconds, to the histogram of a name.
func ObserveDuration(r metrics.Registry, name string, d time.Duration) {
	h, ok := r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram)
	if ok {
		h.Update(d.Milliseconds())
	}
}
