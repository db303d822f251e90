package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// beginClaim claims the right to send the request. It returns done if the
// caller was sent the recorded answer of an earlier run instead.
func (x *exchange) beginClaim() (done bool, problem *Problem) {
	ctx, span := x.forwarder.span(x.ctx, "entry.claim")
	defer span.End()
	defer x.recordWait(x.metrics.claimWait, time.Now())
	ctx, cancel := context.WithTimeout(ctx, x.timeLeft(x.call.deadline))
	defer cancel()
	held, answer, err := x.config.Claims.Begin(ctx, x.call.service.Name, x.call.key)
	switch {
	case err != nil:
		return false, x.claimProblem(ctx, err)
	case answer != nil:
		return true, x.replay(answer)
	}
	x.claim = held
	return false, nil
}

// claimProblem returns the problem for an error of Claims.Begin, which was
// called with ctx.
func (x *exchange) claimProblem(ctx context.Context, err error) *Problem {
	var refused *ClaimRefusedError
	switch {
	case errors.As(err, &refused):
		p := x.adjustOutcome(&Problem{Code: refused.Code, Outcome: refused.Outcome,
			Message: refused.Message, RetryAfter: refused.RetryAfter})
		if refused.AttemptOnly && p.Outcome == OutcomeNotRun && !x.call.firstSend {
			p.Outcome = OutcomeUnknown
		}
		p.Status = claimStatus(p.Outcome)
		return p
	case x.ctx.Err() != nil:
		return unknown(statusCallerGone, CodeCallerGone, "caller closed its connection")
	case ctx.Err() != nil:
		return unknown(http.StatusGatewayTimeout, CodeDeadline, "the claim was not decided before the deadline")
	}
	return unknown(http.StatusServiceUnavailable, CodeInternal, "claim: %v", err)
}

// claimStatus returns the status for a refused claim. HTTP libraries may retry by
// themselves only if the request did not run, so only then is it 503.
func claimStatus(outcome string) int {
	if outcome == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}

// replay sends the recorded answer of an earlier run. It returns a problem if
// the body was too large to be recorded.
func (x *exchange) replay(a *claim.Answer) *Problem {
	if a.BodyDropped {
		return &Problem{Status: http.StatusGone, Code: CodeAnswerNotKept, Outcome: OutcomeDone,
			Message: "the request ran and was answered with status " + http.StatusText(a.Status) + "; the body was too large to keep"}
	}
	x.body.discard(x.w)
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	keepContentType(h)
	h.Set(HeaderOutcome, OutcomeReplayed)
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
	x.metrics.outcome(OutcomeReplayed)
	return nil
}

// finishClaim ends the claim, if there is one, and records the answer for resends.
func (x *exchange) finishClaim(a claim.Answer) {
	if x.claim != nil {
		x.claim.Finish(a)
		x.claim = nil
	}
}

// endClaim ends a claim for which no answer was recorded. The claim is released
// only if no target can have run the request.
func (x *exchange) endClaim() {
	switch {
	case x.claim == nil:
	case x.mayHaveRun || x.sending:
		x.claim.Unknown()
	default:
		x.claim.Release()
	}
	x.claim = nil
}
