package zone

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// poolStep applies a changed policy to the pool, ticks it and delivers its
// decisions.
func (z *Zone) poolStep(context.Context) {
	c, _ := z.lease()
	if c == nil {
		return
	}
	l := z.layout()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := z.cfg.Now()
	if c.layout != l {
		c.layout = l
		c.pool.SetPolicy(now, l.policy(z.cfg.AvailabilityZone))
	}
	c.pool.Tick(now)
	c.deliver()
}

// handleAcquire asks the pool for a slot and waits for the decision if the request
// is queued.
func (z *Zone) handleAcquire(ctx context.Context, from string, r acquireRequest) (acquireReply, error) {
	arrived := z.cfg.Now()
	c, _ := z.lease()
	if c == nil {
		return z.notCoordinator(), nil
	}
	if _, listed := z.layout().zoneOf[from]; !listed {
		// After a failover the new coordinator would not ask an unlisted host for
		// its permits, and would grant their slots a second time.
		return acquireReply{Status: statusBusy, RetryAfterMs: noCoordinatorRetry.Milliseconds()}, nil
	}
	id := slots.ID{Holder: slots.Holder{Host: from, Incarnation: r.Incarnation}, Number: r.Number}
	request := slots.Request{
		ID: id, Service: r.Service, Class: r.Class, Exclude: r.Exclude,
		Deadline: arrived.Add(milliseconds(r.RemainingMs)), MaxWait: milliseconds(r.MaxWaitMs),
	}
	decided := make(chan slots.Decision, 1)
	c.mu.Lock()
	c.noteIncarnation(arrived, id.Holder)
	grant, queued, err := c.pool.Acquire(arrived, request)
	if queued {
		c.waiters[id] = decided
	}
	c.mu.Unlock()
	if queued {
		select {
		case d := <-decided:
			grant, err = d.Grant, d.Err
		case <-ctx.Done():
			z.releasePermit(c, id, slots.OutcomeUnsent)
			return acquireReply{}, ctx.Err()
		case <-c.ended:
			return z.notCoordinator(), nil
		}
	}
	return z.acquireResult(c, arrived, grant, err), nil
}

// acquireResult returns the reply for a decision. A grant is valid until the lease
// ends, expressed as a duration from the request's arrival. The holder counts it
// from when it sent the request, which is earlier.
func (z *Zone) acquireResult(c *coordinator, arrived time.Time, grant slots.Grant, err error) acquireReply {
	var busy *slots.BusyError
	if errors.As(err, &busy) {
		return acquireReply{Status: statusBusy, RetryAfterMs: busy.RetryAfter.Milliseconds()}
	}
	current, until := z.lease()
	if current != c {
		return z.notCoordinator()
	}
	return acquireReply{
		Status: statusGranted, Target: grant.Target, Term: c.term,
		ValidMs: until.Sub(arrived).Milliseconds(),
	}
}

func (z *Zone) handleRelease(_ context.Context, from string, r releaseRequest) (releaseReply, error) {
	c, _ := z.lease()
	if c == nil {
		return releaseReply{NotCoordinator: true}, nil
	}
	z.releasePermit(c, slots.ID{Holder: slots.Holder{Host: from, Incarnation: r.Incarnation}, Number: r.Number}, slots.Outcome(r.Outcome))
	return releaseReply{}, nil
}

// releasePermit ends a permit or a wait in the pool.
func (z *Zone) releasePermit(c *coordinator, id slots.ID, o slots.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.Release(z.cfg.Now(), id, o)
	c.deliver()
}

func (z *Zone) handleRenew(_ context.Context, from string, r renewRequest) (renewReply, error) {
	c, _ := z.lease()
	if c == nil {
		return renewReply{NotCoordinator: true}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, h := z.cfg.Now(), slots.Holder{Host: from, Incarnation: r.Incarnation}
	c.noteIncarnation(now, h)
	unknown, deferred := c.pool.Renew(now, h, r.Numbers)
	return renewReply{Unknown: unknown, Deferred: deferred}, nil
}

func (z *Zone) notCoordinator() acquireReply {
	return acquireReply{Status: statusNotCoordinator, Coordinator: z.coordinatorHint()}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
