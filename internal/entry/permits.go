package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Permits grants slots at targets. The zone coordinator stands behind it.
type Permits interface {
	// Acquire waits for a slot until the context ends. A refusal is a *BusyError.
	Acquire(ctx context.Context, r PermitRequest) (Permit, error)
}

// PermitRequest asks for one slot.
type PermitRequest struct {
	Service     string
	Class       traffic.Class
	Deadline    time.Time
	Exclude     []string // targets (IP:port) that failed this request already
	AllowRemote bool     // targets of other regions will do
}

// Permit is the right to have one request outstanding at one target.
type Permit interface {
	Target() string // IP:port
	Zone() string   // availability zone of the target
	Region() string // region of the target
	// Usable reports whether the permit may still be used for the first byte.
	Usable(now time.Time) bool
	// Started tells that the response has begun, so that the permit is held until it ends.
	Started()
	Release(o slots.Outcome)
}

// LossNotifier is implemented by permits that can be lost while a response streams:
// the coordinator no longer counts them, because its renewals went unanswered.
type LossNotifier interface {
	// Lost is closed when the connection to the target must be closed.
	Lost() <-chan struct{}
}

// BusyError says that no slot becomes free in time.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string { return fmt.Sprintf("no slot free, retry after %s", e.RetryAfter) }
