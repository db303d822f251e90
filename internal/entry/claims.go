package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// Claims grants the right to run a request with an idempotency key once.
type Claims interface {
	// Begin returns the right to send, or the recorded answer of an earlier
	// run, or an error. A refusal is a *ClaimRefusedError. Exactly one of the
	// three results is not nil.
	Begin(ctx context.Context, service, key string) (Claim, *claim.Answer, error)
}

// Claim is the right to send one keyed request. Exactly one of its methods must
// be called, once.
type Claim interface {
	Finish(a claim.Answer) // the target answered
	Release()              // nothing ran and nothing will
	Unknown()              // a target may have run the request
}

// ClaimRefusedError says why a keyed request is not sent.
type ClaimRefusedError struct {
	Outcome    string // value of HeaderOutcome
	Code       string
	Message    string
	RetryAfter time.Duration
	// AttemptOnly limits "not run" to this attempt; an earlier one may have run.
	AttemptOnly bool
}

func (e *ClaimRefusedError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}
