package zone

import (
	"context"
	"strconv"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// result is the outcome of one attempt at a zone: a permit, a refusal, or neither
// if no coordinator answered.
type result struct {
	permit *Permit
	busy   *slots.BusyError
}

// attempt asks a zone's coordinator once for a slot, waiting in that zone's queue
// for up to maxWait.
func (z *Zone) attempt(ctx context.Context, zone string, r Request, maxWait time.Duration) result {
	host := z.coordinatorOf(ctx, zone)
	if host == "" {
		return result{}
	}
	number, sent := z.holder.next(), z.cfg.Now()
	request := acquireRequest{
		Incarnation: z.cfg.Incarnation, Number: number, Service: r.Service, Class: r.Class, Exclude: r.Exclude,
		RemainingMs: r.Deadline.Sub(sent).Milliseconds(), MaxWaitMs: maxWait.Milliseconds(),
	}
	reply, err := ask(ctx, z, host, "slots.acquire", request, z.handleAcquire)
	if err != nil {
		// A grant may still be in flight, unless the connection was refused.
		if !peer.IsRefused(err) {
			z.sendRelease(zone, number, slots.OutcomeUnsent)
		}
		if ctx.Err() == nil {
			z.directory.forget(zone, host)
		}
		return result{}
	}
	switch reply.Status {
	case statusGranted:
		return z.acceptGrant(zone, number, sent, r, reply)
	case statusBusy:
		return result{busy: &slots.BusyError{RetryAfter: milliseconds(reply.RetryAfterMs)}}
	}
	z.directory.forget(zone, host)
	if reply.Coordinator != "" && reply.Coordinator != host {
		z.directory.learn(z.cfg.Now(), zone, reply.Coordinator, 0)
	}
	return result{}
}

// acceptGrant records a granted permit, or releases it if it is void already.
func (z *Zone) acceptGrant(zone string, number uint64, sent time.Time, r Request, reply acquireReply) result {
	p := &Permit{
		ID:     z.cfg.Host + "/" + strconv.FormatUint(number, 10),
		Target: reply.Target, AvailabilityZone: zone, Region: z.layout().regionOf[zone],
		zone: z, number: number, term: reply.Term, service: r.Service,
		validUntil: sent.Add(milliseconds(reply.ValidMs)), deadline: r.Deadline,
		lost: make(chan struct{}),
	}
	if !z.holder.accept(p, z.cfg.Now()) {
		z.sendRelease(zone, number, slots.OutcomeUnsent)
		return result{}
	}
	return result{permit: p}
}

// wait queues in a zone until it grants or refuses, or ctx ends. It asks again
// when the zone's coordinator changes.
func (z *Zone) wait(ctx context.Context, zone string, r Request) result {
	for {
		got := z.attemptUntilReplaced(ctx, zone, r)
		if got.permit != nil || got.busy != nil || ctx.Err() != nil {
			return got
		}
		select {
		case <-ctx.Done():
			return result{}
		case <-time.After(watchInterval):
		}
	}
}

// attemptUntilReplaced makes one queued attempt and cancels it when another host
// becomes known as the zone's coordinator.
func (z *Zone) attemptUntilReplaced(ctx context.Context, zone string, r Request) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := z.coordinatorOf(ctx, zone)
	done := make(chan struct{})
	defer close(done)
	z.calls.Go(func() {
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			if now := z.knownCoordinator(zone); now != "" && now != asked {
				cancel()
				return
			}
		}
	})
	return z.attempt(ctx, zone, r, r.Deadline.Sub(z.cfg.Now()))
}

// knownCoordinator returns the last known coordinator of a zone, or "". It sends
// no request.
func (z *Zone) knownCoordinator(zone string) string {
	if zone == z.cfg.AvailabilityZone {
		return z.coordinatorHint()
	}
	return z.directory.coordinator(z.cfg.Now(), zone)
}
