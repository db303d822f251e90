package retry

// Execution tells what is known about the work of a request.
type Execution uint8

// Truths, as a caller sees them.
const (
	NotRun  Execution = iota // no target did the work or will do it
	Unknown                  // a target may have done the work
)

// Reason names the rule that led to a decision.
type Reason uint8

// Reasons of a decision.
const (
	ReasonAllowed    Reason = iota
	ReasonAnswered          // never after the first response byte
	ReasonCallerGone        // nobody waits for the response
	ReasonDeadline          // the deadline has passed
	ReasonSent              // sent, and not repeatable
	ReasonBody              // the body cannot be sent again
	ReasonBudget            // too many retries recently
)

func (r Reason) String() string {
	names := [...]string{"allowed", "answered", "caller-gone", "deadline", "sent", "body", "budget"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown reason"
}

// Decision tells whether to send again, and what to tell the caller if not.
type Decision struct {
	Repeat    bool
	Reason    Reason
	Execution Execution // about this attempt; Unknown if an earlier attempt is unknown, too
}

// Decide applies the rule of the request path: repeat only if the method may
// run more than once or nothing was sent, never after the first response byte,
// within the deadline and the budget. The budget is asked last, so that only
// retries that happen are counted.
func Decide(a Attempt, b *Budget) Decision {
	d := Decision{Execution: a.execution(), Reason: a.refusal()}
	if d.Reason == ReasonAllowed && !b.Take(a.Now) {
		d.Reason = ReasonBudget
	}
	d.Repeat = d.Reason == ReasonAllowed
	return d
}

// execution is NotRun only if no byte was sent or the target said that it did not run.
func (a Attempt) execution() Execution {
	if !a.Sent || a.Outcome == Shed {
		return NotRun
	}
	return Unknown
}

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
