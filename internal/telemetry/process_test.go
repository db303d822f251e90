package telemetry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

// TestWatchProcess guards against process metrics that stay at zero.
func TestWatchProcess(t *testing.T) {
	r := metrics.NewRegistry()
	out := &stuckWriter{release: make(chan struct{})}
	defer close(out.release)
	w := NewAsyncWriter(out)
	for range 2 * asyncQueueLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go WatchProcess(ctx, r, w, log.New(io.Discard))
	for _, name := range []string{"process.descriptors", "log.queued", "log.dropped", "runtime.MemStats.HeapAlloc"} {
		for {
			if g, ok := r.Get(name).(metrics.Gauge); ok && g.Value() > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestObserveDuration guards against durations recorded in a unit other than
// milliseconds, which the metric names state.
func TestObserveDuration(t *testing.T) {
	r := metrics.NewRegistry()
	ObserveDuration(r, "x_ms", 1500*time.Millisecond)
	ObserveDuration(r, "x_ms", 500*time.Millisecond)
	h, ok := r.Get("x_ms").(metrics.Histogram)
	if !ok || h.Count() != 2 || h.Max() != 1500 {
		t.Errorf("histogram %v", h)
	}
}
