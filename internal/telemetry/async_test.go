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

// Guards against a process that exits before its last lines, such as the one
// about its stop, were written, and against one that cannot exit because its
// output is blocked.
func TestFlush(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	for range asyncLines / 2 {
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
