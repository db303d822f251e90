package slots

import (
	"fmt"
	"time"
)

// BusyError refuses a request: no slot is expected to become free in time.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string {
	return fmt.Sprintf("no slot is expected in time, retry after %v", e.RetryAfter)
}

// Codes of AnnounceError.
const (
	CodeStale   = "stale-sequence"
	CodeService = "unknown-service"
	CodeSlots   = "invalid-slots"
)

// AnnounceError refuses a target announcement.
type AnnounceError struct {
	Code    string
	Message string
}

func (e *AnnounceError) Error() string { return e.Message }

func refuse(code, format string, args ...any) *AnnounceError {
	return &AnnounceError{Code: code, Message: fmt.Sprintf(format, args...)}
}
