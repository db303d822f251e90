package slots

import (
	"slices"
	"time"
)

// service holds the targets and the queue of one service.
type service struct {
	name      string
	targets   []*target
	queue     queue
	estimator estimator
}

// live returns the number of live targets and how many of them are suspect.
func (s *service) live(now time.Time) (live, suspects int) {
	for _, t := range s.targets {
		if !t.live(now) {
			continue
		}
		live++
		if t.suspect() {
			suspects++
		}
	}
	return live, suspects
}

// choose returns the target for a request, or nil if none has a free slot.
// Targets that are not deprioritized come first, then the one with the smallest
// share of its usable slots outstanding, then the one granted least recently.
func (s *service) choose(now time.Time, p Policy, exclude []string) *target {
	if p.Drained {
		return nil
	}
	limits, mostSuspect := p.Services[s.name], s.mostSuspect(now)
	var best *target
	var bestUsable int
	for _, t := range s.targets {
		if t.suspect() && !mostSuspect && now.Before(t.probeAt) || !t.live(now) || slices.Contains(exclude, t.address) {
			continue
		}
		usable := t.usable(now, limits, mostSuspect)
		if t.outstanding >= usable {
			continue
		}
		if best == nil || preferred(now, t, usable, best, bestUsable) {
			best, bestUsable = t, usable
		}
	}
	return best
}

// mostSuspect reports whether more than half of the live targets are suspect.
// A faulty health signal is then more likely than that many dead targets, so
// suspect targets keep all their slots.
func (s *service) mostSuspect(now time.Time) bool {
	if !slices.ContainsFunc(s.targets, (*target).suspect) {
		return false
	}
	live, suspects := s.live(now)
	return 2*suspects > live
}

// preferred reports whether a is chosen over b.
func preferred(now time.Time, a *target, aUsable int, b *target, bUsable int) bool {
	if al, bl := a.deprioritized(now), b.deprioritized(now); al != bl {
		return bl
	}
	if x, y := a.outstanding*bUsable, b.outstanding*aUsable; x != y {
		return x < y
	}
	return a.lastGrant < b.lastGrant
}
