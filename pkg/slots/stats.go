package slots

import "time"

// Stats are the counts of one service in the zone.
type Stats struct {
	Targets     int // live targets
	Suspect     int
	Slots       int // usable now
	Free        int
	Outstanding int
	Queued      int
}

// Stats returns the counts of every service that has had targets or requests.
func (p *Pool) Stats(now time.Time) map[string]Stats {
	all := make(map[string]Stats, len(p.services))
	for name, s := range p.services {
		all[name] = p.serviceStats(now, s)
	}
	return all
}

func (p *Pool) serviceStats(now time.Time, s *service) Stats {
	out := Stats{Queued: len(s.queue.classes[0]) + len(s.queue.classes[1])}
	out.Targets, out.Suspect = s.live(now)
	limits, mostSuspect := p.policy.Services[s.name], s.mostSuspect(now)
	for _, t := range s.targets {
		out.Outstanding += t.outstanding
		if !t.live(now) || p.policy.Drained {
			continue
		}
		usable := t.usable(now, limits, mostSuspect)
		out.Slots += usable
		out.Free += max(usable-t.outstanding, 0)
	}
	if p.Recovering() {
		out.Free = 0
	}
	return out
}
