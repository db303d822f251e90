package slots

import "time"

// observe takes an outcome seen by an entry host into the target's health. It
// takes precedence over what the target reports.
func (t *target) observe(now time.Time, o Outcome) {
	switch {
	case o == OutcomeDone:
		t.failures = 0
	case o == OutcomeShed:
		t.failures = 0 // an answer, even a refusal, shows that the target is alive
		t.pausedUntil = now.Add(shedPause)
	case o.failure():
		t.failures++
		t.probeAt = now.Add(probeInterval)
	}
}
