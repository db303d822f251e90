package wal

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by calls on a closed log.
var ErrClosed = errors.New("log is closed")

// CorruptError says that a file holds bytes that the log did not write there.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError says that an earlier write or sync failed. The state of the
// last frame on disk is then unknown, so the log refuses all further writes.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string { return fmt.Sprintf("log failed earlier: %v", e.Cause) }

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Cause }
