package zone

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// summaryStep exchanges summaries with the coordinators of the other zones.
func (z *Zone) summaryStep(ctx context.Context) {
	c, _ := z.lease()
	if c == nil {
		return
	}
	own := z.summarize(c, z.cfg.Now())
	z.directory.store(z.cfg.Now(), own)
	ctx, cancel := context.WithTimeout(ctx, summaryInterval)
	defer cancel()
	var exchanges sync.WaitGroup
	for _, zone := range z.layout().zones {
		if zone != z.cfg.AvailabilityZone {
			exchanges.Go(func() { z.exchange(ctx, zone, own) })
		}
	}
	exchanges.Wait()
}

// exchange sends this zone's summary to another zone's coordinator and stores the
// summary in its reply. A host that is not the coordinator replies with the one it
// knows, which is then asked once.
func (z *Zone) exchange(ctx context.Context, zone string, own summary) {
	host := z.directory.coordinator(z.cfg.Now(), zone)
	if host == "" {
		host = z.randomHost(zone)
	}
	for range 2 {
		if host == "" {
			return
		}
		reply, err := ask(ctx, z, host, "zone.summary", summaryRequest{Summary: &own}, z.handleSummary)
		switch {
		case err != nil:
			z.directory.forget(zone, host)
			return
		case reply.Summary != nil:
			z.directory.store(z.cfg.Now(), *reply.Summary)
			return
		}
		z.directory.forget(zone, host)
		host = reply.Coordinator
	}
}

// handleSummary stores the sender's summary and replies with the own zone's if this
// host is its coordinator.
func (z *Zone) handleSummary(_ context.Context, _ string, r summaryRequest) (summaryReply, error) {
	now := z.cfg.Now()
	if r.Summary != nil && r.Summary.Zone != z.cfg.AvailabilityZone {
		z.directory.store(now, *r.Summary)
	}
	c, _ := z.lease()
	if c == nil {
		return summaryReply{Coordinator: z.coordinatorHint()}, nil
	}
	own := z.summarize(c, now)
	return summaryReply{Coordinator: z.cfg.Host, Summary: &own}, nil
}

// summarize returns the summary of the zone that c coordinates.
func (z *Zone) summarize(c *coordinator, now time.Time) summary {
	s := summary{Zone: z.cfg.AvailabilityZone, Coordinator: z.cfg.Host, Term: c.term}
	usable := 0
	for _, h := range z.hostStates(c, now) {
		switch {
		case h.Leaving:
			s.Leaving = append(s.Leaving, h.Name)
		case h.Silent:
			s.Silent = append(s.Silent, h.Name)
		default:
			usable++
			s.Spare += h.Spare
		}
	}
	s.Spare /= max(usable, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, f := range c.pool.Stats(now) {
		s.Services = append(s.Services, serviceSummary{
			Name: name, Targets: f.Targets, Slots: f.Slots, Free: f.Free,
			Outstanding: f.Outstanding, Queued: f.Queued, Suspect: f.Suspect,
		})
	}
	slices.SortFunc(s.Services, func(a, b serviceSummary) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// coordinatorOf returns the coordinator of a zone, or "". If none is known for
// another zone, it asks a random host of that zone; a host whose own zone is cut
// off learns of other coordinators this way.
func (z *Zone) coordinatorOf(ctx context.Context, zone string) string {
	if zone == z.cfg.AvailabilityZone {
		return z.coordinatorHint()
	}
	if host := z.directory.coordinator(z.cfg.Now(), zone); host != "" {
		return host
	}
	host := z.randomHost(zone)
	if host == "" || !z.directory.mayQuery(z.cfg.Now(), zone) {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	reply, err := ask(ctx, z, host, "zone.summary", summaryRequest{}, z.handleSummary)
	if err != nil || reply.Coordinator == "" {
		if !errors.Is(err, context.Canceled) {
			z.directory.queryFailed(z.cfg.Now(), zone)
		}
		return ""
	}
	z.directory.learn(z.cfg.Now(), zone, reply.Coordinator, 0)
	return reply.Coordinator
}

// serviceStats returns the last known counts of a service in a zone. ok is false if
// the zone's summary is missing or too old.
func (z *Zone) serviceStats(now time.Time, zone, service string) (f serviceSummary, ok bool) {
	e, known := z.directory.summaryEntry(zone)
	if !known || now.Sub(e.heard) >= staleSummary {
		return serviceSummary{}, false
	}
	for _, f := range e.Services {
		if f.Name == service {
			return f, true
		}
	}
	return serviceSummary{}, true
}
