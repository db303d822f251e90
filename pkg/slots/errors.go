package slots

import (
	"fmt"
	"time"
)

// BusyError refuses a request because no slot is expected to become free before
// its wait ends. RetryAfter is the delay suggested to the caller.
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

// AnnounceError rejects a target's announcement.
type AnnounceError struct {
	Code    string
	Message string
}

func (e *AnnounceError) Error() string { return e.Message }

func refuse(code, format string, args ...any) *AnnounceError {
	return &AnnounceError{Code: code, Message: fmt.Sprintf(format, args...)}
}
