package zone

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// renewStep renews the streaming permits of all zones.
func (z *Zone) renewStep(ctx context.Context) {
	var zones []string
	z.holder.mu.Lock()
	for _, p := range z.holder.permits {
		if p.streaming && !p.ended && !slices.Contains(zones, p.AvailabilityZone) {
			zones = append(zones, p.AvailabilityZone)
		}
	}
	z.holder.mu.Unlock()
	for _, zone := range zones {
		z.calls.Go(func() { z.renewZone(ctx, zone) })
	}
}

// permitStep ends streams whose slot the coordinator may have freed, and removes
// ended permits whose target has stopped working.
func (z *Zone) permitStep(context.Context) {
	now := z.cfg.Now()
	z.holder.mu.Lock()
	defer z.holder.mu.Unlock()
	for number, p := range z.holder.permits {
		switch {
		case p.ended && !now.Before(p.keepUntil):
			delete(z.holder.permits, number)
		case p.streaming && !p.ended && !now.Before(p.lostAt()):
			p.lose()
		}
	}
}

// renewZone renews the streaming permits of one zone.
func (z *Zone) renewZone(ctx context.Context, zone string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	host := z.coordinatorOf(ctx, zone)
	sent, numbers := z.cfg.Now(), z.streaming(zone)
	if host == "" || len(numbers) == 0 {
		return
	}
	request := renewRequest{Incarnation: z.cfg.Incarnation, Numbers: numbers}
	reply, err := ask(ctx, z, host, "slots.renew", request, z.handleRenew)
	if err != nil || reply.NotCoordinator {
		z.directory.forget(zone, host)
		return
	}
	z.confirm(sent, numbers, reply)
}

// streaming returns the numbers of the streaming permits of a zone.
func (z *Zone) streaming(zone string) []uint64 {
	z.holder.mu.Lock()
	defer z.holder.mu.Unlock()
	var numbers []uint64
	for number, p := range z.holder.permits {
		if p.AvailabilityZone == zone && p.streaming && !p.ended {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// confirm applies the reply to a renewal: permits that the coordinator does not
// know are lost, the others are confirmed as of the send time unless the reply is
// deferred.
func (z *Zone) confirm(sent time.Time, numbers []uint64, r renewReply) {
	z.holder.mu.Lock()
	defer z.holder.mu.Unlock()
	for _, number := range numbers {
		p, ok := z.holder.permits[number]
		switch {
		case !ok || p.ended:
		case slices.Contains(r.Unknown, number):
			p.lose()
		case !r.Deferred && sent.After(p.confirmed):
			p.confirmed = sent
		}
	}
}

// sendRelease reports the end of a permit to the zone's coordinator in the
// background, with up to releaseAttempts attempts.
func (z *Zone) sendRelease(zone string, number uint64, o slots.Outcome) {
	request := releaseRequest{Incarnation: z.cfg.Incarnation, Number: number, Outcome: uint8(o)}
	z.calls.Go(func() {
		for attempt := range releaseAttempts {
			if z.releaseOnce(zone, request) {
				return
			}
			time.Sleep(watchInterval << attempt)
		}
	})
}

// releaseOnce makes one attempt to deliver a release and reports whether the
// coordinator accepted it.
func (z *Zone) releaseOnce(zone string, r releaseRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	host := z.coordinatorOf(ctx, zone)
	if host == "" {
		return false
	}
	reply, err := ask(ctx, z, host, "slots.release", r, z.handleRelease)
	if err != nil || reply.NotCoordinator {
		z.directory.forget(zone, host)
		return false
	}
	return true
}

// background runs f for a zone in a goroutine that outlives its caller.
func (z *Zone) background(f func(context.Context, string), zone string) {
	z.calls.Go(func() { f(context.Background(), zone) })
}

// isRefused reports whether no process listens at a host's address. A host that
// the bundle does not list has no known address and is not taken as refused.
func isRefused(err error) bool {
	var unknown *UnknownHostError
	return err != nil && !errors.As(err, &unknown) && peer.IsRefused(err)
}
