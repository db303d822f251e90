package links

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
)

// minRenewInterval is the shortest time between lease requests of a host. After
// a refused demand the next request waits for the regular renewal, so that hosts
// without a lease do not flood a leader that may not grant leases yet.
const minRenewInterval = 50 * time.Millisecond

// Run renews the leases until ctx ends, and returns the error of ctx. It renews
// every link.RenewInterval, and earlier when a request waits without a lease.
func (l *Limiter) Run(ctx context.Context) error {
	tick := time.NewTicker(link.RenewInterval)
	defer tick.Stop()
	for {
		l.refresh()
		renewNow := l.renewNow
		if !l.renew(ctx) {
			renewNow = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minRenewInterval):
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-renewNow:
		case <-tick.C:
		}
	}
}

// renew sends one lease request to the leader. Without a reply the current
// leases expire. It returns false if there was no reply, or if any route with
// demand got no share.
func (l *Limiter) renew(ctx context.Context) (met bool) {
	addr, ok := l.leader()
	limiters := l.allLimiters()
	if !ok || len(limiters) == 0 {
		return false
	}
	req := link.LeaseRequest{Host: l.host}
	for _, rl := range limiters {
		req.Demands = append(req.Demands, link.RouteDemand{Route: rl.route, Demand: rl.read((*link.Shaper).Demand)})
	}
	ctx, cancel := context.WithTimeout(ctx, link.RenewInterval)
	defer cancel()
	// The lease is timed from the moment before the request is sent, so that it
	// has already expired if a freeze on either side delayed the reply.
	until := l.now().Add(link.UsableLeaseDuration)
	reply, err := peer.Call[link.LeaseRequest, link.LeaseReply](ctx, l.peers, addr, "link.lease", req)
	if err != nil || len(reply.Shares) != len(limiters) {
		return false
	}
	met = true
	for i, rl := range limiters {
		met = met && (reply.Shares[i] > 0 || req.Demands[i].Demand == 0)
		lease := link.Lease{BytesPerSecond: max(reply.Shares[i], 0), Until: until}
		rl.update(func(s *link.Shaper, now time.Time) { s.SetLease(now, lease) })
	}
	return met
}

// allLimiters returns the limiters of all routes in no particular order.
func (l *Limiter) allLimiters() []*routeLimiter {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*routeLimiter, 0, len(l.limiters))
	for _, rl := range l.limiters {
		out = append(out, rl)
	}
	return out
}
