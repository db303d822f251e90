package slots

import "time"

// Announce takes in what a target tells about itself. For one incarnation only
// a higher sequence counts and leaving is final; a larger incarnation starts afresh.
func (p *Pool) Announce(now time.Time, a Announcement) error {
	if _, ok := p.policy.Services[a.Service]; !ok {
		return refuse(CodeService, "service %q is not in the bundle", a.Service)
	}
	if a.Slots < 0 {
		return refuse(CodeSlots, "target %s announces %d slots", a.Address, a.Slots)
	}
	t, known := p.targets[a.Address]
	if known && p.owner[a.Address].name != a.Service {
		if t.fresh(now) || t.outstanding > 0 {
			return refuse(CodeService, "target %s is announced for service %q", a.Address, p.owner[a.Address].name)
		}
		p.drop(t)
		known = false
	}
	if !known {
		t = p.add(a.Service, a.Address)
	}
	if stale(t, a) {
		return refuse(CodeStale, "target %s: incarnation %d sequence %d is not newer than %d/%d",
			a.Address, a.Incarnation, a.Sequence, t.incarnation, t.sequence)
	}
	p.renew(now, t, a)
	p.serve(now, p.owner[a.Address])
	return nil
}

func stale(t *target, a Announcement) bool {
	if t.heard.IsZero() || a.Incarnation > t.incarnation {
		return false
	}
	return a.Incarnation < t.incarnation || a.Sequence <= t.sequence
}

func (p *Pool) renew(now time.Time, t *target, a Announcement) {
	switch {
	case t.heard.IsZero():
		t.since, t.warm = p.firstSeen(now, a), false
	case a.Incarnation != t.incarnation:
		t.since, t.warm, t.leaving, t.failures, t.pausedUntil = now, false, false, 0, time.Time{}
	case !t.fresh(now):
		t.since, t.warm = now, false
	}
	t.incarnation, t.sequence, t.heard, t.silentAt = a.Incarnation, a.Sequence, now, now.Add(AnnounceLifetime)
	t.slots, t.connections, t.load = a.Slots, a.Connections, a.Load
	t.leaving = t.leaving || a.State == Leaving
}

// firstSeen returns the start of a target's warm-up. A new coordinator hears
// every target for the first time; the sequence, which rises by one each
// second, then tells how long the target has been up. Without this a failover
// would cool down the whole zone.
func (p *Pool) firstSeen(now time.Time, a Announcement) time.Time {
	if now.Sub(p.started) >= AnnounceLifetime {
		return now
	}
	seconds := min(a.Sequence, uint64(time.Hour/time.Second))
	return now.Add(-time.Duration(seconds) * time.Second)
}

func (p *Pool) add(name, address string) *target {
	s := p.service(name)
	t := &target{address: address, drained: p.policy.DrainedTargets[address]}
	s.targets = append(s.targets, t)
	p.targets[address], p.owner[address] = t, s
	return t
}
