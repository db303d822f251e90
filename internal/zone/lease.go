package zone

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

// releaseWait bounds how long a planned stop waits for the voters to acknowledge
// the release of the lease.
const releaseWait = 300 * time.Millisecond

// handleVote answers a candidate's vote request. A release by another candidate
// also wakes the host's own candidate.
func (z *Zone) handleVote(_ context.Context, _ string, r voteRequest) (voteReply, error) {
	z.leaseMu.Lock()
	defer z.leaseMu.Unlock()
	now := z.cfg.Now()
	reply := z.voter.Handle(now, zonelease.Request(r))
	if r.Release && r.Candidate != z.candidate.Self() {
		z.candidate.Wake(now)
	}
	return voteReply{
		Granted: reply.Granted, Term: reply.Term, Holder: reply.Holder,
		RemainingMs: reply.Remaining.Milliseconds(),
	}, nil
}

// leaseStep advances the election and starts or ends the coordination.
func (z *Zone) leaseStep(ctx context.Context) {
	z.leaseMu.Lock()
	now := z.cfg.Now()
	z.candidate.SetVoters(z.layout().hosts[z.cfg.AvailabilityZone])
	requests := z.candidate.Tick(now, z.voter.PromisedToOther(now, z.candidate.Self()))
	z.syncCoordinator(now)
	z.leaseMu.Unlock()
	for _, r := range requests {
		z.broadcast(ctx, r, z.calls)
	}
}

// syncCoordinator starts or ends this host's coordination so that it matches the
// candidate's lease. The caller holds leaseMu.
func (z *Zone) syncCoordinator(now time.Time) {
	var current *coordinator
	if held := z.held.Load(); held != nil {
		current = held.coordinator
	}
	holds := z.candidate.Holds(now)
	if current != nil && (!holds || current.term != z.candidate.Term()) {
		z.held.Store(nil)
		current.end()
		z.cfg.Log.Info("coordination ended", "zone", z.cfg.AvailabilityZone, "term", current.term)
		current = nil
	}
	if !holds {
		return
	}
	if current == nil {
		l := z.layout()
		current = newCoordinator(now, z.candidate.Term(), l.policy(z.cfg.AvailabilityZone), l.holders(now))
		z.cfg.Log.Info("coordination started", "zone", z.cfg.AvailabilityZone, "term", current.term)
	}
	z.held.Store(&heldLease{coordinator: current, until: z.candidate.Until()})
}

// broadcast sends a vote request to every voter of the zone and counts the
// replies. Replies to a release are ignored.
func (z *Zone) broadcast(ctx context.Context, r zonelease.Request, wg *tasks) {
	for _, host := range z.layout().hosts[z.cfg.AvailabilityZone] {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply, err := ask(ctx, z, host, "zone.vote", voteRequest(r), z.handleVote)
			if err != nil || r.Release {
				return
			}
			z.countVote(host, r, reply)
		})
	}
}

// countVote passes a voter's reply to the candidate.
func (z *Zone) countVote(host string, r zonelease.Request, reply voteReply) {
	z.leaseMu.Lock()
	defer z.leaseMu.Unlock()
	now := z.cfg.Now()
	z.candidate.Handle(now, host, r.Round, zonelease.Reply{
		Granted: reply.Granted, Term: reply.Term, Holder: reply.Holder,
		Remaining: time.Duration(reply.RemainingMs) * time.Millisecond,
	})
	z.syncCoordinator(now)
}

// releaseLease gives up the lease and the candidacy for good. It waits for the
// voters' replies, at most for releaseWait.
func (z *Zone) releaseLease() {
	z.leaseMu.Lock()
	request := z.candidate.Release()
	z.syncCoordinator(z.cfg.Now())
	z.leaseMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	sent := newTasks()
	z.broadcast(ctx, request, sent)
	sent.Wait()
}

// stepDown gives up the lease because a host has already answered a newer term.
func (z *Zone) stepDown(ctx context.Context, newer uint64) {
	z.leaseMu.Lock()
	z.candidate.Observe(newer)
	request := z.candidate.StepDown(z.cfg.Now())
	z.syncCoordinator(z.cfg.Now())
	z.leaseMu.Unlock()
	z.broadcast(ctx, request, z.calls)
}
