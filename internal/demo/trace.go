package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// span holds the fields of a recorded span that the demo reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	host        string // that recorded it
}

// showTrace prints the spans that all hosts recorded for traceID, ordered by start
// time.
func (d *demo) showTrace(context.Context) error {
	files, err := filepath.Glob(filepath.Join(d.folder, "*.trace"))
	if err != nil {
		return err
	}
	var spans []span
	for _, f := range files {
		found, err := readSpans(f)
		if err != nil {
			return err
		}
		spans = append(spans, found...)
	}
	if len(spans) == 0 {
		return errors.New("no span of the run-once request was recorded")
	}
	slices.SortFunc(spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	for _, s := range spans {
		d.printf("   trace=%s span=%s parent=%s name=%s host=%s duration=%s", s.SpanContext.TraceID[:8], s.SpanContext.SpanID,
			s.Parent.SpanID, s.Name, s.host, s.EndTime.Sub(s.StartTime).Round(time.Microsecond))
	}
	return nil
}

// readSpans returns the spans of traceID in a trace file.
func readSpans(file string) ([]span, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var spans []span
	for dec := json.NewDecoder(f); ; {
		s := span{host: hostOf(file)}
		switch err := dec.Decode(&s); {
		case errors.Is(err, io.EOF):
			return spans, nil
		case err != nil:
			return nil, fmt.Errorf("read spans of %s: %w", file, err)
		}
		if s.SpanContext.TraceID == traceID {
			spans = append(spans, s)
		}
	}
}

// hostOf returns the host that a trace file is named after.
func hostOf(file string) string {
	base := filepath.Base(file)
	return base[:len(base)-len(filepath.Ext(base))]
}
