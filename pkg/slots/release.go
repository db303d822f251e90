package slots

import "time"

// Release ends a permit or the wait of a request, and takes the outcome into
// the target's health. A release that overtakes its request voids it.
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
	held.target.observe(now, o)
	if o == OutcomeDone && !held.since.IsZero() {
		p.owner[held.target.address].flow.held(now.Sub(held.since))
	}
	p.end(now, held, o)
	p.serve(now, p.owner[held.target.address])
}

// end frees the slot, at once or when the target must have ended the work.
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

// Renew extends streaming permits and returns the numbers that are not known:
// their slots have been given to others. While the holder has not answered
// this term's recovery, numbers that are not known are deferred: they are
// neither renewed nor lost.
func (p *Pool) Renew(now time.Time, h Holder, numbers []uint64) (unknown []uint64, deferred bool) {
	_, pending := p.pending[h.Host]
	for _, n := range numbers {
		held, ok := p.permits[ID{Holder: h, Number: n}]
		switch {
		case ok && !held.released:
			// Never earlier than before: an unanswered holder counts from its deadline.
			held.expires = later(held.expires, now.Add(StreamSilence))
		case !ok && pending:
			deferred = true
		case !ok:
			unknown = append(unknown, n)
		}
	}
	return unknown, deferred
}

// HolderRestarted frees the permits of a host's earlier incarnations after the
// grace period: their connections closed when the process ended.
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

func (p *Pool) endWait(s *service, id ID) {
	s.queue.take(func(w *waiter) bool { return w.request.ID != id })
	p.decide(Decision{Grant: Grant{ID: id}, Err: busy(0)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
