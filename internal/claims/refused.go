package claims

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// Outcomes of a refused claim.
const (
	OutcomeNotRun     = "not-run"
	OutcomeInProgress = "in-progress"
	OutcomeUnknown    = "unknown"
)

// Pauses that refusals advise before the same key is sent again.
const (
	retryInProgress = time.Second
	retryNoQuorum   = 2 * time.Second
	retrySplit      = 500 * time.Millisecond
)

// RefusedError says why an attempt has no right to send.
type RefusedError struct {
	Outcome       string // OutcomeNotRun, OutcomeInProgress or OutcomeUnknown
	Code, Message string
	RetryAfter    time.Duration // zero: the same key need not be sent again
	// AttemptOnly limits "not run" to this attempt: without a majority of stores
	// nobody can tell whether an earlier attempt with the key ran.
	AttemptOnly bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("claim refused, %s: %s (%s)", e.Outcome, e.Message, e.Code)
}

// refusals maps decisions to what the caller is told.
var refusals = map[claim.Decision]RefusedError{
	claim.InProgress:    {OutcomeInProgress, "claim-in-progress", "another attempt with this key is in progress", retryInProgress, false},
	claim.Split:         {OutcomeInProgress, "claim-split", "several attempts with this key collided", retrySplit, false},
	claim.ResultUnknown: {OutcomeUnknown, "claim-unknown", "an earlier attempt with this key may have run", 0, false},
	claim.Expired:       {OutcomeUnknown, "claim-expired", "the key is too old to tell whether it has run", 0, false},
	claim.KeyInFuture:   {OutcomeNotRun, "claim-key-in-future", "the timestamp of the key is in the future", 0, false},
	claim.NotRun:        {OutcomeNotRun, "claim-no-quorum", "too few claim stores are reachable", retryNoQuorum, true},
	claim.KeyHeldDown: {OutcomeNotRun, "claim-hold-down", "the key was refused as not run a moment ago; wait, or use a new key",
		claim.HoldDown, false},
}

func newRefusedError(d claim.Decision) *RefusedError {
	e := refusals[d]
	return &e
}
