package slots

import "time"

// Announce records a target's announcement. Within one incarnation only a
// higher sequence is accepted and leaving is final; a higher incarnation resets
// the target's state. A rejected announcement returns an *AnnounceError.
func (p *Pool) Announce(now time.Time, a Announcement) error {
	if _, ok := p.policy.Services[a.Service]; !ok {
		return refuse(CodeService, "service %q is not in the bundle", a.Service)
	}
	if a.Slots < 0 {
		return refuse(CodeSlots, "target %s announces %d slots", a.Address, a.Slots)
	}
	t, known := p.targets[a.Address]
	if known && p.serviceOf[a.Address].name != a.Service {
		if t.fresh(now) || t.outstanding > 0 {
			return refuse(CodeService, "target %s is announced for service %q", a.Address, p.serviceOf[a.Address].name)
		}
		p.removeTarget(t)
		known = false
	}
	if !known {
		t = p.addTarget(a.Service, a.Address)
	}
	if stale(t, a) {
		return refuse(CodeStale, "target %s: incarnation %d sequence %d is not newer than %d/%d",
			a.Address, a.Incarnation, a.Sequence, t.incarnation, t.sequence)
	}
	p.applyAnnouncement(now, t, a)
	p.serve(now, p.serviceOf[a.Address])
	return nil
}

// stale reports whether a newer announcement of the target, or this one, has
// already been recorded.
func stale(t *target, a Announcement) bool {
	if t.lastHeard.IsZero() || a.Incarnation > t.incarnation {
		return false
	}
	return a.Incarnation < t.incarnation || a.Sequence <= t.sequence
}

// applyAnnouncement updates the target from an announcement that is not stale. A
// new incarnation, or the return after a silence, restarts the warm-up.
func (p *Pool) applyAnnouncement(now time.Time, t *target, a Announcement) {
	switch {
	case t.lastHeard.IsZero():
		t.warmUpStart, t.warm = p.firstSeen(now, a), false
	case a.Incarnation != t.incarnation:
		t.warmUpStart, t.warm, t.leaving, t.failures, t.pausedUntil = now, false, false, 0, time.Time{}
	case !t.fresh(now):
		t.warmUpStart, t.warm = now, false
	}
	t.incarnation, t.sequence, t.lastHeard, t.silentAt = a.Incarnation, a.Sequence, now, now.Add(AnnounceLifetime)
	t.slots, t.connections, t.load = a.Slots, a.Connections, a.Load
	t.leaving = t.leaving || a.State == Leaving
}

// firstSeen returns the start of a target's warm-up. To a new coordinator every
// target is new, so during its first AnnounceLifetime it derives the target's
// uptime from the sequence, which rises by one each second. Otherwise every
// failover would send the whole zone back into warm-up.
func (p *Pool) firstSeen(now time.Time, a Announcement) time.Time {
	if now.Sub(p.started) >= AnnounceLifetime {
		return now
	}
	seconds := min(a.Sequence, uint64(time.Hour/time.Second))
	return now.Add(-time.Duration(seconds) * time.Second)
}

func (p *Pool) addTarget(name, address string) *target {
	s := p.service(name)
	t := &target{address: address, drained: p.policy.DrainedTargets[address]}
	s.targets = append(s.targets, t)
	p.targets[address], p.serviceOf[address] = t, s
	return t
}
