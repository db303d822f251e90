package slots

import "time"

// recordOutcome updates the target's health from an outcome that an entry host
// observed. Observed outcomes take precedence over what the target reports.
func (t *target) recordOutcome(now time.Time, o Outcome) {
	switch {
	case o == OutcomeDone:
		t.failures = 0
	case o == OutcomeShed:
		t.failures = 0 // any response, even a shed one, shows that the target is alive
		t.pausedUntil = now.Add(shedPause)
	case o.isFailure():
		t.failures++
		t.probeAt = now.Add(probeInterval)
	}
}
