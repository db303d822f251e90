package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// exchange handles one request of a caller: its claim, its permits, its
// attempts and the response.
type exchange struct {
	*forwarder
	call    call
	w       http.ResponseWriter
	r       *http.Request
	body    *callerBody     // nil without a body
	ctx     context.Context // cancelled when the caller closes its connection
	span    trace.Span
	arrived time.Time

	claim      Claim    // nil if the request needs no claim or its claim has ended
	sending    bool     // an attempt is in flight
	mayHaveRun bool     // a target may have run an attempt of this request
	excluded   []string // targets (IP:port) that failed an attempt

	waitTime time.Duration // time spent waiting for claims, permits and targets
}

// run answers the request. If it returns a problem, nothing has been written
// and the caller must be sent that problem.
func (x *exchange) run() *Problem {
	if x.call.key != "" {
		done, problem := x.beginClaim()
		if done || problem != nil {
			return problem
		}
		defer x.endClaim()
	}
	for {
		permit, problem := x.acquire()
		if problem != nil {
			return problem
		}
		if x.ctx.Err() != nil {
			// An attempt in flight may continue without its caller, but no new one is started.
			permit.Release(slots.OutcomeUnsent)
			return x.adjustOutcome(notRun(statusCallerGone, CodeCallerGone, "caller closed its connection"))
		}
		x.sending = true
		a := newAttempt(x, permit)
		response, failure := a.send()
		if failure == nil {
			return x.deliver(a, response)
		}
		if problem := x.afterFailure(a, failure); problem != nil {
			return problem
		}
	}
}

// afterFailure ends the failed attempt and decides whether to retry. It returns
// nil if the request may be sent again.
func (x *exchange) afterFailure(a *attempt, failure *failure) *Problem {
	x.metrics.attemptEnd(failure.outcome.String())
	a.end(failure.slotOutcome())
	decision := x.budgets.decide(x.call.service.Name, retry.Attempt{
		Method: x.call.method, RepeatableMethods: x.call.service.RepeatableMethods,
		Outcome: failure.outcome, Sent: failure.sent, BodyRead: failure.bodyRead,
		Now: x.config.Now(), Deadline: x.call.deadline,
	})
	x.sending = false
	x.mayHaveRun = x.mayHaveRun || decision.Execution == retry.Unknown
	if !decision.Repeat {
		return x.problemOf(failure)
	}
	x.metrics.retries.Inc(1)
	if failure.outcome != retry.Void {
		x.excluded = append(x.excluded, a.permit.Target())
	}
	return nil
}

// recordWait records the time since start in t and adds it to waitTime.
func (x *exchange) recordWait(t metrics.Timer, start time.Time) {
	d := time.Since(start)
	t.Update(d)
	x.waitTime += d
}

// acquire waits for a permit until the request's deadline.
func (x *exchange) acquire() (Permit, *Problem) {
	ctx, span := x.forwarder.span(x.ctx, "entry.permit")
	defer span.End()
	defer x.recordWait(x.metrics.permitWait, time.Now())
	ctx, cancel := context.WithTimeout(ctx, x.timeLeft(x.call.deadline))
	defer cancel()
	permit, err := x.config.Permits.Acquire(ctx, PermitRequest{Service: x.call.service.Name, Class: x.call.class,
		Deadline: x.call.deadline, Exclude: x.excluded, AllowRemote: true})
	if err == nil {
		return permit, nil
	}
	var busy *BusyError
	switch {
	case errors.As(err, &busy):
		p := x.adjustOutcome(notRun(http.StatusServiceUnavailable, CodeBusy, "no slot becomes free before the deadline"))
		p.RetryAfter = busy.RetryAfter
		return nil, p
	case x.ctx.Err() != nil:
		return nil, x.adjustOutcome(notRun(statusCallerGone, CodeCallerGone, "caller closed its connection"))
	case ctx.Err() != nil:
		return nil, x.adjustOutcome(notRun(http.StatusGatewayTimeout, CodeDeadline, "no slot became free before the deadline"))
	}
	return nil, x.adjustOutcome(notRun(http.StatusServiceUnavailable, CodeBusy, "no slot: %v", err))
}

// statusCallerGone is the status logged for callers that closed their
// connection; they do not receive it.
const statusCallerGone = 499

// adjustOutcome turns "not run" into "unknown" if an earlier attempt may have
// run. For a resent key, the earlier send may also still be in flight and run
// after this one has ended.
func (x *exchange) adjustOutcome(p *Problem) *Problem {
	if p.Outcome == OutcomeNotRun && (x.mayHaveRun || x.call.resend) {
		p.Outcome = OutcomeUnknown
	}
	return p
}

// problemOf returns the problem that the caller is sent for a failed attempt.
func (x *exchange) problemOf(f *failure) *Problem {
	switch f.outcome {
	case retry.CallerGone:
		return x.adjustOutcome(notRun(statusCallerGone, CodeCallerGone, "%v", f.err))
	case retry.TimedOut:
		return x.adjustOutcome(notRun(http.StatusGatewayTimeout, CodeDeadline, "no response before the deadline"))
	case retry.Shed:
		p := x.adjustOutcome(notRun(http.StatusServiceUnavailable, CodeShed, "the target refused the request"))
		p.RetryAfter = f.retryAfter
		return p
	case retry.Unreached, retry.Void:
		return x.adjustOutcome(notRun(http.StatusServiceUnavailable, CodeTargetUnreachable, "nothing was sent: %v", f.err))
	}
	if f.badResponse {
		return x.adjustOutcome(notRun(http.StatusBadGateway, CodeBadResponse, "%v", f.err))
	}
	return x.adjustOutcome(notRun(http.StatusBadGateway, CodeTargetFailed, "%v", f.err))
}
