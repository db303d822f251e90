package slots

import (
	"slices"
	"time"
)

// service is one service's targets and queue.
type service struct {
	name    string
	targets []*target
	queue   queue
	flow    flow
}

// live counts the targets that announce themselves as ready, and those of them
// that look dead.
func (s *service) live(now time.Time) (live, dead int) {
	for _, t := range s.targets {
		if !t.live(now) {
			continue
		}
		live++
		if t.suspect() {
			dead++
		}
	}
	return live, dead
}

// choose returns the target for a request, or nil if none has a free slot.
// Order: targets without a reason to wait, then the smallest share of usable
// slots outstanding, then the one that was granted least recently.
func (s *service) choose(now time.Time, p Policy, exclude []string) *target {
	if p.Drained {
		return nil
	}
	limits, doubted := p.Services[s.name], s.doubted(now)
	var best *target
	var bestUsable int
	for _, t := range s.targets {
		if t.suspect() && !doubted && now.Before(t.probeAt) || !t.live(now) || slices.Contains(exclude, t.address) {
			continue
		}
		usable := t.usable(now, limits, doubted)
		if t.outstanding >= usable {
			continue
		}
		if best == nil || before(now, t, usable, best, bestUsable) {
			best, bestUsable = t, usable
		}
	}
	return best
}

// doubted reports whether more than half of the live targets look dead at
// once: then the measurement is the likelier fault and shares stay.
func (s *service) doubted(now time.Time) bool {
	if !slices.ContainsFunc(s.targets, (*target).suspect) {
		return false
	}
	live, dead := s.live(now)
	return 2*dead > live
}

func before(now time.Time, a *target, aUsable int, b *target, bUsable int) bool {
	if al, bl := a.last(now), b.last(now); al != bl {
		return bl
	}
	if x, y := a.outstanding*bUsable, b.outstanding*aUsable; x != y {
		return x < y
	}
	return a.granted < b.granted
}
