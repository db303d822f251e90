// Package telemetry sets up logs, metrics and traces of a program.
package telemetry

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event.
func NewLogger(w io.Writer, program, host, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Fields:          []any{"program", program, "host", host},
	})
	return logger, nil
}
