package telemetry

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// processInterval is the pause between readings of what the process uses.
	processInterval  = 15 * time.Second
	descriptorFolder = "/proc/self/fd"
)

// WatchProcess keeps the gauges of the process up to date until ctx ends:
// memory, open descriptors and the queue of the log.
func WatchProcess(ctx context.Context, r metrics.Registry, w *AsyncWriter, l *log.Logger) {
	metrics.RegisterRuntimeMemStats(r)
	ticker := time.NewTicker(processInterval)
	defer ticker.Stop()
	counted := true
	for ctx.Err() == nil {
		metrics.CaptureRuntimeMemStatsOnce(r)
		metrics.GetOrRegisterGauge("log.queued", r).Update(int64(w.Queued()))
		metrics.GetOrRegisterGauge("log.dropped", r).Update(w.Dropped())
		if names, err := os.ReadDir(descriptorFolder); err == nil {
			metrics.GetOrRegisterGauge("process.descriptors", r).Update(int64(len(names)))
		} else if counted {
			counted = false
			l.Warn("open descriptors cannot be counted", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
