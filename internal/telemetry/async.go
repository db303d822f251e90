package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a slow output.
	asyncLines = 4096
	// asyncBatch bounds the bytes of lines that are written together.
	asyncBatch = 16 << 10
)

// asyncLine is a line that waits for the output, or the mark of a flush.
type asyncLine struct {
	text    []byte
	flushed chan<- struct{} // closed once all earlier lines were written; nil for lines
}

// AsyncWriter passes lines on to an output that may block. Lines that find the
// queue full are dropped and counted; a line of its own reports the count.
type AsyncWriter struct {
	out     io.Writer
	lines   chan asyncLine
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan asyncLine, asyncLines)}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- asyncLine{text: copied}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all lines queued before have been written, limit at most. It
// reports whether they have.
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

// Dropped is the number of lines that were lost since the start.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Queued is the number of lines that wait for the output.
func (w *AsyncWriter) Queued() int { return len(w.lines) }

func (w *AsyncWriter) run() {
	reported := int64(0)
	for line := range w.lines {
		for line.flushed == nil && len(line.text) < asyncBatch && len(w.lines) > 0 {
			next := <-w.lines
			line.text, line.flushed = append(line.text, next.text...), next.flushed
		}
		_, _ = w.out.Write(line.text) // nothing is left to report a failed output to
		if n := w.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" count=%d\n", n-reported)
			reported = n
		}
		if line.flushed != nil {
			close(line.flushed)
		}
	}
}
