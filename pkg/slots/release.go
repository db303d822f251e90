package slots

import "time"

// Release ends a permit, or the wait of a queued request, and records the
// outcome in the target's health. If the release arrives before its request,
// that request is refused when it arrives.
func (p *Pool) Release(now time.Time, id ID, o Outcome) {
	if s, ok := p.waiting[id]; ok {
		p.endWait(s, id)
		p.cancelled[id] = now
		return
	}
	held, ok := p.permits[id]
	if !ok {
		p.cancelled[id] = now
		return
	}
	if held.released {
		return
	}
	held.target.recordOutcome(now, o)
	if o == OutcomeDone && !held.grantedAt.IsZero() {
		p.serviceOf[held.target.address].estimator.held(now.Sub(held.grantedAt))
	}
	p.end(now, held, o)
	p.serve(now, p.serviceOf[held.target.address])
}

// end frees the slot of a released permit, either at once or when the target
// must have ended the work.
func (p *Pool) end(now time.Time, held *permit, o Outcome) {
	switch o {
	case OutcomeFailed, OutcomeAbandoned:
		// A broken connection does not show that the target has stopped working.
		held.released = true
		held.expires = earlier(held.expires, now.Add(AbandonGrace))
	case OutcomeUnconfirmed:
		held.released = true
	default:
		p.free(now, held)
	}
}

// Renew extends streaming permits and returns the numbers of permits that do
// not exist any more, whose slots may have been granted to other requests. While
// the holder has not reported its permits to this term, unknown numbers are
// neither renewed nor returned; deferred is true instead.
func (p *Pool) Renew(now time.Time, h Holder, numbers []uint64) (unknown []uint64, deferred bool) {
	_, pending := p.pending[h.Host]
	for _, n := range numbers {
		held, ok := p.permits[ID{Holder: h, Number: n}]
		switch {
		case ok && !held.released:
			// A renewal before the deadline must not shorten the permit, which
			// expires StreamSilence after its deadline without any renewal.
			held.expires = later(held.expires, now.Add(StreamSilence))
		case !ok && pending:
			deferred = true
		case !ok:
			unknown = append(unknown, n)
		}
	}
	return unknown, deferred
}

// HolderRestarted frees the permits of a host's earlier incarnations after
// AbandonGrace, because their connections closed when the process ended. It
// also ends the waits of their queued requests.
func (p *Pool) HolderRestarted(now time.Time, current Holder) {
	for id, held := range p.permits {
		if id.Holder.Host == current.Host && id.Holder != current && !held.released {
			held.released = true
			held.expires = earlier(held.expires, now.Add(AbandonGrace))
		}
	}
	for id, s := range p.waiting {
		if id.Holder.Host == current.Host && id.Holder != current {
			p.endWait(s, id)
		}
	}
}

// endWait removes a request from its queue and refuses it.
func (p *Pool) endWait(s *service, id ID) {
	s.queue.filter(func(w *waiter) bool { return w.request.ID != id })
	p.decide(Decision{Grant: Grant{ID: id}, Err: busy(0)})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
