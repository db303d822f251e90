package zone

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Acquire returns a permit for a target of the service. It asks the host's own
// zone first. If no slot is free there, it queues in all zones of the region at
// the same time and, if AllowRemote is set, also asks other regions, nearest
// first. The error is a *slots.BusyError or the error of ctx.
func (z *Zone) Acquire(ctx context.Context, r Request) (*Permit, error) {
	left := r.Deadline.Sub(z.cfg.Now())
	if left <= 0 {
		return nil, &slots.BusyError{RetryAfter: noCoordinatorRetry}
	}
	waiting, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if p := z.try(waiting, z.cfg.AvailabilityZone, r); p != nil {
		return p, nil
	}
	c := &acquireRace{zone: z, request: r, results: make(chan result)}
	p, busy := c.run(waiting)
	switch {
	case p != nil:
		return p, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, busy
}

// try asks a zone for a slot without queueing. It returns nil if none is free.
func (z *Zone) try(ctx context.Context, zone string, r Request) *Permit {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return z.attempt(ctx, zone, r, 0).permit
}

// acquireRace asks several zones for a slot for one request in parallel. The first
// grant is used, later ones are released.
type acquireRace struct {
	zone    *Zone
	request Request
	results chan result
}

// run returns the first permit, or the refusal with the shortest retry delay.
func (c *acquireRace) run(ctx context.Context) (*Permit, *slots.BusyError) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, own := c.zone.layout(), c.zone.cfg.AvailabilityZone
	region := append([]string{own}, l.regionZones(own)...)
	for _, name := range region {
		c.start(func() result { return c.zone.wait(ctx, name, c.request) })
	}
	running := len(region)
	refused := make(chan struct{}) // closed when all zones of the region have refused
	if c.request.AllowRemote {
		running++
		c.start(func() result { return c.remote(ctx, l.remoteZones(own), refused) })
	}
	busy := &slots.BusyError{RetryAfter: noCoordinatorRetry}
	for n := len(region); running > 0; running-- {
		got := <-c.results
		if got.permit != nil {
			c.discard(running - 1)
			return got.permit, nil
		}
		if got.busy != nil && got.busy.RetryAfter < busy.RetryAfter {
			busy = got.busy
		}
		if n--; n == 0 {
			close(refused)
		}
	}
	return nil, busy
}

// start runs an attempt in the background and sends its result.
func (c *acquireRace) start(f func() result) {
	c.zone.calls.Go(func() { c.results <- f() })
}

// discard releases the permits that the remaining attempts still get.
func (c *acquireRace) discard(running int) {
	c.zone.calls.Go(func() {
		for range running {
			if got := <-c.results; got.permit != nil {
				got.permit.Release(slots.OutcomeUnsent)
			}
		}
	})
}

// remote asks the zones of other regions for free slots, in rounds, until all
// zones of this region have refused. After a last round it queues in one zone of
// another region.
func (c *acquireRace) remote(ctx context.Context, zones []string, refused <-chan struct{}) result {
	pause := remoteAfter
	for last := false; !last; pause = remoteInterval {
		select {
		case <-ctx.Done():
			return result{}
		case <-refused:
			last = true
		case <-time.After(pause):
		}
		for _, name := range zones {
			if f, ok := c.zone.serviceStats(c.zone.cfg.Now(), name, c.request.Service); ok && f.Free <= 0 {
				continue
			}
			if p := c.zone.try(ctx, name, c.request); p != nil {
				return result{permit: p}
			}
		}
	}
	return c.queueRemote(ctx, zones)
}

// queueRemote queues in the zone with the smallest backlog per slot, unless all
// zones are overloaded. The number of free slots alone is a poor criterion: with
// 80% of its slots busy, a zone of 16 slots has none free a third of the time,
// although one becomes free within a fraction of a service time.
func (c *acquireRace) queueRemote(ctx context.Context, zones []string) result {
	best, least := "", maxBacklog
	for _, name := range zones {
		f, ok := c.zone.serviceStats(c.zone.cfg.Now(), name, c.request.Service)
		if !ok || f.Slots == 0 {
			continue
		}
		if backlog := float64(f.Outstanding+f.Queued) / float64(f.Slots); backlog < least {
			best, least = name, backlog
		}
	}
	if best == "" {
		return result{}
	}
	return c.zone.wait(ctx, best, c.request)
}
