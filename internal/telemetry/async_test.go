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

// Guards against work that waits for a blocked standard output.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	for range 3 * asyncLines {
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
