package slots

import "time"

// target is one announced process of a service.
type target struct {
	address     string
	incarnation uint64
	sequence    uint64
	slots       int
	connections int
	leaving     bool
	drained     bool
	lastHeard   time.Time // zero if the target is known only from a holder's report
	silentAt    time.Time // end of the announcement's lifetime
	warmUpStart time.Time // start of the warm-up
	warm        bool      // the warm-up has ended
	load        float64

	outstanding int    // permits that may be in use
	lastGrant   uint64 // number of the last grant, which orders grants by age
	failures    int
	probeAt     time.Time
	pausedUntil time.Time
}

// fresh reports whether the last announcement is still valid.
func (t *target) fresh(now time.Time) bool {
	return now.Before(t.silentAt)
}

// live reports whether the target announces itself as ready for new work.
func (t *target) live(now time.Time) bool { return !t.leaving && !t.drained && t.fresh(now) }

// suspect reports whether the target has failed several times in a row.
func (t *target) suspect() bool { return t.failures >= failuresToSuspect }

// usable returns how many of the target's slots may be in use at now.
func (t *target) usable(now time.Time, l Limits, mostSuspect bool) int {
	n := t.slots
	if l.Slots > 0 {
		n = min(n, l.Slots)
	}
	if !t.warm {
		n = t.warmUpLimit(now, l.WarmUp, n)
	}
	if t.suspect() && !mostSuspect {
		n = min(n, 1)
	}
	return n
}

// warmUpLimit returns how many of n slots may be used during the warm-up, rising
// linearly from one. It is not called for warm targets, because the time
// arithmetic would otherwise dominate the cost of choosing a target.
func (t *target) warmUpLimit(now time.Time, warmUp time.Duration, n int) int {
	age := max(now.Sub(t.warmUpStart), 0)
	if age >= warmUp {
		t.warm = true
		return n
	}
	if n <= 1 {
		return n
	}
	return 1 + int(float64(n-1)*float64(age)/float64(warmUp))
}

// deprioritized reports whether the live target is chosen only if no other one
// has a free slot, because it has just shed load or reports that it is full.
// Such reports may be wrong, so they never exclude a target.
func (t *target) deprioritized(now time.Time) bool {
	return t.load >= saturatedLoad || now.Before(t.pausedUntil)
}
