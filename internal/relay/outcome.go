package relay

// Outcome says why a relay returns no answer of a target.
type Outcome string

// Outcomes.
const (
	// Busy says that the relay does not take the request, or has no time left for
	// it; nothing was sent.
	Busy Outcome = "busy"
	// Unreached says that no connection to the target could be opened, by this
	// request or others just before; nothing was sent.
	Unreached Outcome = "unreached"
	// Broken says that the request was sent and its answer is lost.
	Broken Outcome = "broken"
	// TimedOut says that the time of the request ended first.
	TimedOut Outcome = "timed out"
)
