package slots

import "time"

// Limits are the limits of one service.
type Limits struct {
	Slots   int // upper bound for the slots that a target may announce; 0 means no bound
	WarmUp  time.Duration
	Timeout time.Duration // longest time until a response starts
}

// Policy is the part of the bundle that a pool needs.
type Policy struct {
	Services       map[string]Limits
	DrainedTargets map[string]bool
	Drained        bool // the zone or its region is drained
}

// HoldLimit is how long a permit may be in use without any word from its
// holder: the response may start just before the deadline.
func (p Policy) HoldLimit() time.Duration {
	var longest time.Duration
	for _, l := range p.Services {
		longest = max(longest, l.Timeout)
	}
	return longest + StreamSilence
}
