package slots

import "time"

// RestorePermits records the permits that a host still holds from earlier
// terms. uptime is the age of its process: targets may continue the work of an
// earlier process for AbandonGrace.
func (p *Pool) RestorePermits(now time.Time, h Holder, uptime time.Duration, permits []HeldPermit) {
	until, ok := p.pending[h.Host]
	if !ok {
		return
	}
	for _, held := range permits {
		p.restore(now, h, held)
	}
	if uptime < AbandonGrace {
		p.pending[h.Host] = earlier(until, now.Add(AbandonGrace-uptime))
		return
	}
	delete(p.pending, h.Host)
	p.resume(now)
}

// HostRefusedConnection records that no process listens at a host's address:
// the permits of that host end after AbandonGrace.
func (p *Pool) HostRefusedConnection(now time.Time, host string) {
	if until, ok := p.pending[host]; ok {
		p.pending[host] = earlier(until, now.Add(AbandonGrace))
	}
}

// Pending returns the hosts that have not reported their permits yet.
func (p *Pool) Pending() []string {
	hosts := make([]string, 0, len(p.pending))
	for host := range p.pending {
		hosts = append(hosts, host)
	}
	return hosts
}

// restore records one reported permit, and its target if that is not known yet.
func (p *Pool) restore(now time.Time, h Holder, held HeldPermit) {
	id := ID{Holder: h, Number: held.Number}
	if _, ok := p.permits[id]; ok {
		return
	}
	t, ok := p.targets[held.Target]
	if !ok {
		t = p.addTarget(held.Service, held.Target)
	}
	t.outstanding++
	p.permits[id] = &permit{id: id, target: t, expires: held.Until}
}

// resume serves the queued requests once the recovery has ended.
func (p *Pool) resume(now time.Time) {
	if !p.Recovering() {
		p.serveAll(now)
	}
}

// recoveryEnd returns when the recovery ends if no further host answers.
func (p *Pool) recoveryEnd() time.Time {
	var end time.Time
	for _, until := range p.pending {
		if until.After(end) {
			end = until
		}
	}
	return end
}
