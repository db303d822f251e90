package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Permits grants slots at targets on behalf of the zone coordinator.
type Permits interface {
	// Acquire waits for a slot until ctx ends. A refusal is a *BusyError.
	Acquire(ctx context.Context, r PermitRequest) (Permit, error)
}

// PermitRequest asks for one slot.
type PermitRequest struct {
	Service     string
	Class       traffic.Class
	Deadline    time.Time
	Exclude     []string // targets (IP:port) that failed this request already
	AllowRemote bool     // targets of other regions are acceptable
}

// Permit is the right to have one request outstanding at one target.
type Permit interface {
	Target() string // IP:port
	Zone() string   // availability zone of the target
	Region() string // region of the target
	// Usable reports whether the first byte of a request may still be sent under the permit.
	Usable(now time.Time) bool
	// Started reports that the response has begun; the permit is then held until the response ends.
	Started()
	// Release gives the slot back with the outcome of the request.
	Release(o slots.Outcome)
}

// LossNotifier is implemented by permits that can be lost while a response
// streams: their renewals went unanswered, so the coordinator no longer counts them.
type LossNotifier interface {
	// Lost returns a channel that is closed when the connection to the target must be closed.
	Lost() <-chan struct{}
}

// BusyError means that no slot becomes free before the deadline of the request.
// RetryAfter is the time after which the caller should try again.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string { return fmt.Sprintf("no slot free, retry after %s", e.RetryAfter) }
