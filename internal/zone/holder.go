package zone

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// holder holds the permits granted to this process.
type holder struct {
	mu      sync.Mutex
	number  uint64
	permits map[uint64]*Permit
	terms   map[string]uint64 // by zone, newest term that granted a permit or asked for held ones
}

func newHolder() *holder {
	return &holder{permits: map[uint64]*Permit{}, terms: map[string]uint64{}}
}

// next returns a new permit number.
func (h *holder) next() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number++
	return h.number
}

// accept records a grant. It returns false if the grant has expired, or if a
// newer term of the zone is known, whose coordinator does not count the permit.
func (h *holder) accept(p *Permit, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.term < h.terms[p.AvailabilityZone] || !now.Before(p.validUntil) {
		return false
	}
	h.terms[p.AvailabilityZone] = p.term
	h.permits[p.number] = p
	return true
}

// handleHeld reports to a new coordinator the permits of its zone that this
// process still holds. From then on grants of older terms are refused.
func (z *Zone) handleHeld(_ context.Context, _ string, r heldRequest) (heldReply, error) {
	now := z.cfg.Now()
	reply := heldReply{Incarnation: z.cfg.Incarnation, UptimeMs: now.Sub(z.started).Milliseconds()}
	h := z.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if newest := h.terms[r.Zone]; r.Term < newest {
		reply.Newer = newest
		return reply, nil
	}
	h.terms[r.Zone] = r.Term
	for _, p := range h.permits {
		if p.AvailabilityZone == r.Zone {
			reply.Permits = append(reply.Permits, p.report(now))
		}
	}
	z.directory.learn(now, r.Zone, r.Coordinator, r.Term)
	return reply, nil
}

// recoveryStep asks the hosts that have not reported their permits to this term.
func (z *Zone) recoveryStep(ctx context.Context) {
	c, _ := z.lease()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.pool.Pending() {
		if c.asking[host] {
			continue
		}
		c.asking[host] = true
		z.calls.Go(func() { z.askHeld(ctx, c, host) })
	}
}

// askHeld asks one host for the permits it holds and records its answer in the
// pool. If the host has answered a newer term, this coordinator steps down.
func (z *Zone) askHeld(ctx context.Context, c *coordinator, host string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := heldRequest{Zone: z.cfg.AvailabilityZone, Term: c.term, Coordinator: z.cfg.Host}
	reply, err := ask(ctx, z, host, "slots.held", request, z.handleHeld)
	now := z.cfg.Now()
	if reply.Newer > c.term {
		z.stepDown(ctx, reply.Newer)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asking, host)
	switch {
	case isRefused(err):
		c.pool.HostRefusedConnection(now, host)
	case err == nil:
		who := slots.Holder{Host: host, Incarnation: reply.Incarnation}
		c.noteIncarnation(now, who)
		c.pool.RestorePermits(now, who, milliseconds(reply.UptimeMs), heldPermits(now, reply.Permits))
		c.deliver()
	}
}

// heldPermits converts reported permits, whose end is relative to now.
func heldPermits(now time.Time, reported []heldPermit) []slots.HeldPermit {
	out := make([]slots.HeldPermit, 0, len(reported))
	for _, p := range reported {
		out = append(out, slots.HeldPermit{
			Number: p.Number, Service: p.Service, Target: p.Target,
			Until: now.Add(milliseconds(p.UntilMs)),
		})
	}
	return out
}
