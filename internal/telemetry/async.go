package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
)

// asyncLines bounds the lines that wait for a slow output.
const asyncLines = 4096

// AsyncWriter passes lines on to an output that may block. Lines that find the
// queue full are dropped and counted; a line of its own reports the count.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines)}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were lost since the start.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Queued is the number of lines that wait for the output.
func (w *AsyncWriter) Queued() int { return len(w.lines) }

func (w *AsyncWriter) run() {
	reported := int64(0)
	for line := range w.lines {
		for more := len(w.lines); more > 0 && len(line) < 1<<14; more-- {
			line = append(line, <-w.lines...)
		}
		_, _ = w.out.Write(line) // nothing is left to report a failed output to
		if n := w.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" count=%d\n", n-reported)
			reported = n
		}
	}
}
