// Package telemetry sets up the logs, metrics and traces of a program.
package telemetry

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes each event to w as one line in logfmt
// (key=value pairs). level is one of debug, info, warn and error.
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
