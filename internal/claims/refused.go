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

// Values of RefusedError.RetryAfter.
const (
	retryInProgress = time.Second
	retryNoQuorum   = 2 * time.Second
	retrySplit      = 500 * time.Millisecond
)

// RefusedError reports why an attempt did not get the right to send.
type RefusedError struct {
	Outcome       string // OutcomeNotRun, OutcomeInProgress or OutcomeUnknown
	Code, Message string
	RetryAfter    time.Duration // time to wait before the same key is sent again; zero if a resend is pointless
	// AttemptOnly is set if "not run" applies to this attempt only: without a
	// majority of stores it is not known whether an earlier attempt with the key ran.
	AttemptOnly bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("claim refused, %s: %s (%s)", e.Outcome, e.Message, e.Code)
}

// refusals holds the error for each decision that refuses an attempt.
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
