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
	heard       time.Time // zero: known from a holder only
	since       time.Time // start of the warm-up
	load        float64

	outstanding int // permits that may be in use
	granted     uint64
	failures    int
	probeAt     time.Time
	pausedUntil time.Time
}

func (t *target) fresh(now time.Time) bool {
	return !t.heard.IsZero() && now.Sub(t.heard) < AnnounceLifetime
}

func (t *target) suspect() bool { return t.failures >= failuresToSuspect }

// usable returns how many slots may be in use at the target at now.
func (t *target) usable(now time.Time, l Limits, doubted bool) int {
	n := t.slots
	if l.Slots > 0 {
		n = min(n, l.Slots)
	}
	if age := now.Sub(t.since); age < l.WarmUp && n > 1 {
		n = 1 + int(float64(n-1)*float64(max(age, 0))/float64(l.WarmUp))
	}
	if t.suspect() && !doubted {
		n = min(n, 1)
	}
	return n
}

// last reports whether the target is chosen only if no other one is free:
// it has just shed load or reports that it is full. Such figures never take a
// target out, because they may be wrong.
func (t *target) last(now time.Time) bool {
	return now.Before(t.pausedUntil) || t.fresh(now) && t.load >= saturatedLoad
}
