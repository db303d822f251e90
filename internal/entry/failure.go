package entry

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// failure describes why an attempt has no response for the caller.
type failure struct {
	outcome     retry.Outcome
	sent        bool // a byte may have reached the target
	bodyRead    bool // a byte of the caller's body was read
	badResponse bool // the target sent an invalid response
	unreachable bool // no connection to the target could be opened
	retryAfter  time.Duration
	err         error
}

// slotOutcome returns the outcome with which the permit of the attempt is released.
func (f *failure) slotOutcome() slots.Outcome {
	switch {
	case f.unreachable:
		return slots.OutcomeUnreachable
	case !f.sent:
		return slots.OutcomeUnsent
	case f.outcome == retry.Shed:
		return slots.OutcomeShed
	case f.outcome == retry.TimedOut || f.outcome == retry.CallerGone:
		return slots.OutcomeAbandoned
	}
	return slots.OutcomeFailed
}
