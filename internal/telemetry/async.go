package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the number of lines that may wait for a slow output.
	asyncQueueLines = 4096
	// asyncBatchBytes is the size above which no further line is added to one
	// write.
	asyncBatchBytes = 16 << 10
)

// asyncLine is a queued line or a flush marker.
type asyncLine struct {
	text    []byte
	flushed chan<- struct{} // closed once all earlier lines are written; nil for a line
}

// AsyncWriter writes lines in the background to an output that may block. When the
// queue is full, lines are dropped and counted, and the count is reported in a log
// line once the output accepts data again.
type AsyncWriter struct {
	out     io.Writer
	lines   chan asyncLine
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which never ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan asyncLine, asyncQueueLines)}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never blocks
// and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- asyncLine{text: copied}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all lines queued before the call have been written, or limit
// has passed. It reports whether the lines have been written.
func (w *AsyncWriter) Flush(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	flushed := make(chan struct{})
	select {
	case w.lines <- asyncLine{flushed: flushed}:
	case <-timer.C:
		return false
	}
	select {
	case <-flushed:
		return true
	case <-timer.C:
		return false
	}
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Queued returns the number of lines that wait to be written.
func (w *AsyncWriter) Queued() int { return len(w.lines) }

// run writes queued lines, in batches when several are waiting.
func (w *AsyncWriter) run() {
	reported := int64(0)
	for line := range w.lines {
		for line.flushed == nil && len(line.text) < asyncBatchBytes && len(w.lines) > 0 {
			next := <-w.lines
			line.text, line.flushed = append(line.text, next.text...), next.flushed
		}
		_, _ = w.out.Write(line.text) // there is no other output to report the error to
		if n := w.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" count=%d\n", n-reported)
			reported = n
		}
		if line.flushed != nil {
			close(line.flushed)
		}
	}
}
