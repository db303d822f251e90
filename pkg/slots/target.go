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
	heard       time.Time // zero: known from a holder only
	silentAt    time.Time // end of the announcement's lifetime
	since       time.Time // start of the warm-up
	warm        bool      // the warm-up has ended
	load        float64

	outstanding int // permits that may be in use
	granted     uint64
	failures    int
	probeAt     time.Time
	pausedUntil time.Time
}

func (t *target) fresh(now time.Time) bool {
	return now.Before(t.silentAt)
}

// live reports whether the target announces itself as ready for new work.
func (t *target) live(now time.Time) bool { return !t.leaving && !t.drained && t.fresh(now) }

func (t *target) suspect() bool { return t.failures >= failuresToSuspect }

// usable returns how many slots may be in use at the target at now.
func (t *target) usable(now time.Time, l Limits, doubted bool) int {
	n := t.slots
	if l.Slots > 0 {
		n = min(n, l.Slots)
	}
	if !t.warm {
		n = t.ramp(now, l.WarmUp, n)
	}
	if t.suspect() && !doubted {
		n = min(n, 1)
	}
	return n
}

// ramp limits n slots during the warm-up. Targets that are warm skip the time
// arithmetic, which otherwise takes most of the choice.
func (t *target) ramp(now time.Time, warmUp time.Duration, n int) int {
	age := max(now.Sub(t.since), 0)
	if age >= warmUp {
		t.warm = true
		return n
	}
	if n <= 1 {
		return n
	}
	return 1 + int(float64(n-1)*float64(age)/float64(warmUp))
}

// last reports whether the live target is chosen only if no other one is free:
// it has just shed load or reports that it is full. Such figures never take a
// target out, because they may be wrong.
func (t *target) last(now time.Time) bool {
	return t.load >= saturatedLoad || now.Before(t.pausedUntil)
}
