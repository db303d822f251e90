package slots

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Acquire grants a slot, queues the request or refuses it with a *BusyError.
// If queued is true, Decisions returns the outcome later.
func (p *Pool) Acquire(now time.Time, r Request) (g Grant, queued bool, err error) {
	if r.Class > traffic.Bulk {
		r.Class = traffic.Bulk
	}
	if p.isKnown(r.ID) {
		return Grant{}, false, &BusyError{RetryAfter: minRetryAfter}
	}
	s := p.service(r.Service)
	if !p.Recovering() && s.queue.ahead(r.Class) == 0 {
		if t := s.choose(now, p.policy, r.Exclude); t != nil {
			return p.grant(now, t, r), false, nil
		}
	}
	wait := min(r.MaxWait, s.estimator.maxWait(r.Deadline.Sub(now)))
	expected := p.expectedWait(now, s, r)
	if wait <= 0 || !s.estimator.admits(expected, wait) {
		return Grant{}, false, busy(expected)
	}
	if s.queue.empty() {
		s.estimator.queueStarted(now)
	}
	s.queue.push(&waiter{request: r, until: now.Add(wait)})
	p.waiting[r.ID] = s
	return Grant{}, true, nil
}

// isKnown reports whether the request is a duplicate, or was released before
// it arrived.
func (p *Pool) isKnown(id ID) bool {
	_, cancelled := p.cancelled[id]
	_, granted := p.permits[id]
	_, waits := p.waiting[id]
	return cancelled || granted || waits
}

// grant gives a slot of the target to the request.
func (p *Pool) grant(now time.Time, t *target, r Request) Grant {
	p.grants++
	t.lastGrant = p.grants
	t.outstanding++
	if t.suspect() {
		t.probeAt = now.Add(probeInterval)
	}
	p.permits[r.ID] = &permit{id: r.ID, target: t, grantedAt: now, expires: r.Deadline.Add(StreamSilence)}
	return Grant{ID: r.ID, Target: t.address}
}

// expectedWait estimates how long a request that joins the queue now would
// wait for a slot. It returns noSlotExpected if none will become free.
func (p *Pool) expectedWait(now time.Time, s *service, r Request) time.Duration {
	if p.policy.Drained {
		return noSlotExpected
	}
	if p.Recovering() && now.Sub(p.started) >= recoveryQueueTime {
		return p.recoveryEnd().Sub(now)
	}
	if p.Recovering() {
		return 0
	}
	if live, _ := s.live(now); live == 0 {
		if now.Sub(p.started) < AnnounceLifetime {
			return 0 // targets have not had time to announce themselves to this term's coordinator
		}
		return noSlotExpected
	}
	if s.queue.empty() {
		return s.estimator.gap
	}
	return s.estimator.waitBehind(now, s.queue.ahead(r.Class))
}

// serve grants free slots to the requests queued for a service and refuses
// those whose wait has ended.
func (p *Pool) serve(now time.Time, s *service) {
	if s.queue.empty() {
		return
	}
	s.queue.filter(func(w *waiter) bool {
		if !now.Before(w.until) {
			p.decide(Decision{Grant: Grant{ID: w.request.ID}, Err: busy(s.estimator.gap)})
			return false
		}
		if p.Recovering() {
			return true
		}
		t := s.choose(now, p.policy, w.request.Exclude)
		if t == nil {
			return true
		}
		p.decide(Decision{Grant: p.grant(now, t, w.request)})
		return false
	})
}

func (p *Pool) serveAll(now time.Time) {
	for _, s := range p.services {
		p.serve(now, s)
	}
}

// decide ends the wait of a queued request; Decisions returns the result.
func (p *Pool) decide(d Decision) {
	delete(p.waiting, d.ID)
	p.decisions = append(p.decisions, d)
}

// busy returns a BusyError whose RetryAfter is the expected wait within bounds.
func busy(expected time.Duration) *BusyError {
	return &BusyError{RetryAfter: min(max(expected, minRetryAfter), maxRetryAfter)}
}
