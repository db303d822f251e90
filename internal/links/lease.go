package links

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
)

// kickInterval is the shortest time between lease requests. After a refused
// demand the next request waits for the regular renewal, so that starving
// hosts do not flood a leader that may not lease yet.
const kickInterval = 50 * time.Millisecond

// Run renews the leases until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	tick := time.NewTicker(link.RenewInterval)
	defer tick.Stop()
	for {
		l.refresh()
		kick := l.kick
		if !l.renew(ctx) {
			kick = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(kickInterval):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-kick:
		case <-tick.C:
		}
	}
}

// renew asks the leader once. Without a reply the leases run out. It returns
// false if a demand was not met at all.
func (l *Limiter) renew(ctx context.Context) (met bool) {
	addr, ok := l.leader()
	pipes := l.all()
	if !ok || len(pipes) == 0 {
		return false
	}
	req := link.LeaseRequest{Host: l.host}
	for _, p := range pipes {
		req.Demands = append(req.Demands, link.RouteDemand{Route: p.route, Demand: p.read((*link.Shaper).Demand)})
	}
	ctx, cancel := context.WithTimeout(ctx, link.RenewInterval)
	defer cancel()
	// The lease counts from here, so that a reply that was delayed by a freeze on either side is void.
	until := l.now().Add(link.UsableLeaseDuration)
	reply, err := peer.Call[link.LeaseRequest, link.LeaseReply](ctx, l.peers, addr, "link.lease", req)
	if err != nil || len(reply.Shares) != len(pipes) {
		return false
	}
	met = true
	for i, p := range pipes {
		met = met && (reply.Shares[i] > 0 || req.Demands[i].Demand == 0)
		lease := link.Lease{BytesPerSecond: max(reply.Shares[i], 0), Until: until}
		p.update(func(s *link.Shaper, now time.Time) { s.SetLease(now, lease) })
	}
	return met
}

func (l *Limiter) all() []*pipe {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*pipe, 0, len(l.pipes))
	for _, p := range l.pipes {
		out = append(out, p)
	}
	return out
}
