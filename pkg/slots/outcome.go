package slots

// Outcome is how the request that a permit was granted for ended.
type Outcome uint8

// Outcomes of a permit.
const (
	OutcomeDone      Outcome = iota // the response was complete
	OutcomeUnsent                   // no byte reached the target
	OutcomeShed                     // the target refused with its documented shed response
	OutcomeFailed                   // the target broke the connection or sent a server error
	OutcomeAbandoned                // the connection was closed before the response ended; the target may still be working

	OutcomeUnreachable // no connection could be opened; like OutcomeUnsent, but it counts against the target's health
	OutcomeUnconfirmed // abandoned, and the close of the connection could not be confirmed
)

// isFailure reports whether the outcome counts against the target's health.
func (o Outcome) isFailure() bool {
	switch o {
	case OutcomeFailed, OutcomeAbandoned, OutcomeUnreachable, OutcomeUnconfirmed:
		return true
	}
	return false
}
