package telemetry

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *stuckWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// TestAsyncWriterNeverBlocks guards against requests that are delayed because the
// log output is blocked.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	for range 3 * asyncQueueLines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write returned %d, %v", n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.release)
	for !strings.Contains(out.String(), "log lines dropped") {
		time.Sleep(time.Millisecond)
	}
}

// TestFlush guards against a process that exits before its last log lines are
// written, and against one that cannot exit because its log output is blocked.
func TestFlush(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	for range asyncQueueLines / 2 {
		_, _ = w.Write([]byte("line\n"))
	}
	_, _ = w.Write([]byte("last\n"))
	if w.Flush(time.Millisecond) {
		t.Error("lines count as written while the output is blocked")
	}
	close(out.release)
	if !w.Flush(time.Minute) || !strings.HasSuffix(out.String(), "last\n") {
		t.Error("the last line was not written")
	}
}
