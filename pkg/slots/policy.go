package slots

import "time"

// Limits are the settings of one service that apply to its targets.
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

// HoldLimit returns the longest time that a permit may be in use while nothing
// is heard from its holder. The response may start just before the deadline, so
// it is the longest request timeout plus StreamSilence.
func (p Policy) HoldLimit() time.Duration {
	var longest time.Duration
	for _, l := range p.Services {
		longest = max(longest, l.Timeout)
	}
	return longest + StreamSilence
}
