package zone

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Permit is the right to have one request outstanding at a target. Release must
// be called when the request has ended.
type Permit struct {
	ID               string
	Target           string // IP:port
	AvailabilityZone string
	Region           string

	zone       *Zone
	number     uint64
	term       uint64
	service    string
	validUntil time.Time
	deadline   time.Time
	lost       chan struct{}
	loseOnce   sync.Once

	// The fields below are guarded by the holder's mutex.
	streaming bool
	confirmed time.Time // send time of the last confirmed renewal
	ended     bool
	keepUntil time.Time // the target may still work until then, although the permit has ended
}

// Usable reports whether the request may be sent to the target at now. Check it
// just before sending the first byte: a grant that was delayed beyond the
// coordinator's lease is void.
func (p *Permit) Usable(now time.Time) bool {
	return now.Before(p.validUntil) && now.Before(p.deadline)
}

// Started records that the response has started. From then on the permit is
// renewed until its release.
func (p *Permit) Started() {
	h := p.zone.holder
	h.mu.Lock()
	first := !p.streaming && !p.ended
	p.streaming = true
	h.mu.Unlock()
	if first {
		p.zone.background(p.zone.renewZone, p.AvailabilityZone)
	}
}

// Lost returns a channel that is closed when the coordinator may grant the slot
// of this streaming permit to another request, because no renewal was confirmed
// for too long. The connection to the target must then be closed.
func (p *Permit) Lost() <-chan struct{} { return p.lost }

// Release ends the permit with an outcome. Only the first call has an effect.
func (p *Permit) Release(o slots.Outcome) {
	now, h := p.zone.cfg.Now(), p.zone.holder
	h.mu.Lock()
	if p.ended {
		h.mu.Unlock()
		return
	}
	p.ended = true
	p.keepUntil = p.workEnd(now, o)
	if !p.keepUntil.After(now) {
		delete(h.permits, p.number)
	}
	h.mu.Unlock()
	p.zone.sendRelease(p.AvailabilityZone, p.number, o)
}

// workEnd returns until when the target may still be working after a release at
// now.
func (p *Permit) workEnd(now time.Time, o slots.Outcome) time.Time {
	switch o {
	case slots.OutcomeFailed, slots.OutcomeAbandoned:
		return now.Add(slots.AbandonGrace)
	case slots.OutcomeUnconfirmed:
		return later(now, p.deadline).Add(slots.StreamSilence)
	}
	return now
}

// report describes the permit to a new coordinator. The caller holds the
// holder's mutex.
func (p *Permit) report(now time.Time) heldPermit {
	until := later(now, p.deadline).Add(slots.StreamSilence)
	if p.ended {
		until = p.keepUntil
	}
	return heldPermit{
		Number: p.number, Service: p.service, Target: p.Target,
		UntilMs: max(until.Sub(now).Milliseconds(), 0),
	}
}

// lostAt returns when the stream must end if no further renewal is confirmed. The
// caller holds the holder's mutex.
func (p *Permit) lostAt() time.Time {
	return later(p.deadline, p.confirmed).Add(slots.LostAfter)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lose closes the channel that Lost returns.
func (p *Permit) lose() { p.loseOnce.Do(func() { close(p.lost) }) }
