package retry

// Execution is what is known about whether a target has run a request.
type Execution uint8

// Values of Execution, as they are reported to the caller.
const (
	NotRun  Execution = iota // no target has run the request or will run it
	Unknown                  // a target may have run the request
)

// Reason is the rule that determined a decision.
type Reason uint8

// Reasons of a decision.
const (
	ReasonAllowed    Reason = iota
	ReasonAnswered          // the response has begun
	ReasonCallerGone        // the caller no longer waits for the response
	ReasonDeadline          // the deadline has passed
	ReasonSent              // a byte may have been sent and the method is not repeatable
	ReasonBody              // the body cannot be sent again
	ReasonBudget            // the retry budget is used up
)

func (r Reason) String() string {
	names := [...]string{"allowed", "answered", "caller-gone", "deadline", "sent", "body", "budget"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown reason"
}

// Decision is whether to send a request again, and what to report to the caller if
// not.
type Decision struct {
	Repeat    bool
	Reason    Reason
	Execution Execution // of this attempt; the request's is Unknown if that of any attempt is
}

// Decide decides whether to retry after an attempt: only if the method may run more
// than once or nothing was sent, never after the first response byte, and only
// within the deadline and the budget. The budget is checked last, so that only
// actual retries are counted.
func Decide(a Attempt, b *Budget) Decision {
	d := Decision{Execution: a.execution(), Reason: a.refusal()}
	if d.Reason == ReasonAllowed && !b.Take(a.Now) {
		d.Reason = ReasonBudget
	}
	d.Repeat = d.Reason == ReasonAllowed
	return d
}

// execution returns NotRun only if no byte was sent or the target shed the request.
func (a Attempt) execution() Execution {
	if !a.Sent || a.Outcome == Shed {
		return NotRun
	}
	return Unknown
}

// refusal returns the rule that forbids a retry regardless of the budget, or
// ReasonAllowed.
func (a Attempt) refusal() Reason {
	switch {
	case a.Outcome == Answered:
		return ReasonAnswered
	case a.Outcome == CallerGone:
		return ReasonCallerGone
	case a.Outcome == TimedOut || !a.Now.Before(a.Deadline):
		return ReasonDeadline
	case a.Sent && !Repeatable(a.Method, a.RepeatableMethods):
		return ReasonSent
	case a.BodyRead:
		return ReasonBody
	}
	return ReasonAllowed
}
