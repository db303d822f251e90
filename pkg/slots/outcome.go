package slots

// Outcome tells how the work that a permit was used for ended.
type Outcome uint8

// Outcomes of a permit.
const (
	OutcomeDone      Outcome = iota // the response ended whole
	OutcomeUnsent                   // no byte reached the target
	OutcomeShed                     // the target refused with its documented shed response
	OutcomeFailed                   // the target broke the connection or sent a server error
	OutcomeAbandoned                // the connection was closed before the response ended; the target may still work

	OutcomeUnreachable // no connection could be opened; like OutcomeUnsent, but it counts against the target's health
	OutcomeUnconfirmed // abandoned, and closing the connection could not be confirmed
)

// failure reports whether the outcome counts against the target's health.
func (o Outcome) failure() bool {
	switch o {
	case OutcomeFailed, OutcomeAbandoned, OutcomeUnreachable, OutcomeUnconfirmed:
		return true
	}
	return false
}
