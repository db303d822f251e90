package telemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestText guards against metrics missing from the text page.
func TestText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("b.count", r).Inc(3)
	metrics.GetOrRegisterGauge("a.gauge", r).Update(7)
	metrics.GetOrRegisterHistogram("c.ms", r, metrics.NewExpDecaySample(100, 0.015)).Update(5)
	want := "a.gauge 7\nb.count 3\nc.ms.count 1\nc.ms.max 5\nc.ms.p50 5\nc.ms.p90 5\nc.ms.p99 5\n"
	if got := FormatMetrics(r); got != want {
		t.Errorf("page:\n%s\nwant:\n%s", got, want)
	}
}

// TestSampler guards against failures that flood the log, and against omitted lines
// that are not counted.
func TestSampler(t *testing.T) {
	s := NewSampler()
	now := time.Unix(1000, 0)
	kept := 0
	for range 1000 {
		if _, ok := s.Failure(now); ok {
			kept++
		}
	}
	if kept != failureBurst {
		t.Errorf("%d lines at once, want %d", kept, failureBurst)
	}
	if omitted, ok := s.Failure(now.Add(time.Second)); !ok || omitted != 1000-failureBurst {
		t.Errorf("omitted %d, kept %v", omitted, ok)
	}
	routine := 0
	for i := range 8000 {
		if s.Routine(strings.Repeat("x", i%7) + time.Duration(i).String()) {
			routine++
		}
	}
	if routine < 800 || routine > 1200 {
		t.Errorf("%d of 8000 requests are logged", routine)
	}
}
