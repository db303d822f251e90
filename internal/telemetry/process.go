package telemetry

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// processInterval is the time between updates of the process metrics.
	processInterval  = 15 * time.Second
	descriptorFolder = "/proc/self/fd"
)

// WatchProcess updates the gauges of the process until ctx ends: memory, open file
// descriptors and the log queue. It logs once if descriptors cannot be counted.
func WatchProcess(ctx context.Context, r metrics.Registry, w *AsyncWriter, l *log.Logger) {
	metrics.RegisterRuntimeMemStats(r)
	ticker := time.NewTicker(processInterval)
	defer ticker.Stop()
	countable := true
	for ctx.Err() == nil {
		metrics.CaptureRuntimeMemStatsOnce(r)
		metrics.GetOrRegisterGauge("log.queued", r).Update(int64(w.Queued()))
		metrics.GetOrRegisterGauge("log.dropped", r).Update(w.Dropped())
		if names, err := os.ReadDir(descriptorFolder); err == nil {
			metrics.GetOrRegisterGauge("process.descriptors", r).Update(int64(len(names)))
		} else if countable {
			countable = false
			l.Warn("open descriptors cannot be counted", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
