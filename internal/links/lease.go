package links

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
)

// kickInterval is the shortest time between lease requests.
const kickInterval = 50 * time.Millisecond

// Run renews the leases until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	tick := time.NewTicker(link.RenewInterval)
	defer tick.Stop()
	for {
		l.refresh()
		l.renew(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(kickInterval):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.kick:
		case <-tick.C:
		}
	}
}

// renew asks the leader once. Without a reply the leases run out.
func (l *Limiter) renew(ctx context.Context) {
	addr, ok := l.leader()
	if !ok {
		return
	}
	pipes := l.all()
	if len(pipes) == 0 {
		return
	}
	req := link.LeaseRequest{Host: l.host}
	for _, p := range pipes {
		req.Asks = append(req.Asks, link.Ask{Route: p.route, Demand: p.read((*link.Shaper).Demand)})
	}
	ctx, cancel := context.WithTimeout(ctx, link.RenewInterval)
	defer cancel()
	// The lease counts from here, so that a reply that was delayed by a freeze on either side is void.
	until := l.now().Add(link.LeaseUse)
	reply, err := peer.Call[link.LeaseRequest, link.LeaseReply](ctx, l.peers, addr, "link.lease", req)
	if err != nil || len(reply.Shares) != len(pipes) {
		return
	}
	for i, p := range pipes {
		lease := link.Lease{BytesPerSecond: max(reply.Shares[i], 0), Until: until}
		p.update(func(s *link.Shaper, now time.Time) { s.SetLease(now, lease) })
	}
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
