package wal

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by calls on a closed log.
var ErrClosed = errors.New("log is closed")

// CorruptError reports content of a file that the log cannot have written, or a
// missing file. Offset is in bytes.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError reports that an earlier write or sync failed. The state of the last
// frame on disk is then unknown, so the log refuses all further writes until it is
// opened again.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string { return fmt.Sprintf("log failed earlier: %v", e.Cause) }

// Unwrap returns the error of the first failed write or sync.
func (e *FailedError) Unwrap() error { return e.Cause }
