package links

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Limiter keeps the traffic of one entry host on the links of its region within
// the host's shares. It is safe for concurrent use.
type Limiter struct {
	host, region string
	links        func() []Link
	leader       func() (peerAddr string, ok bool)
	peers        *peer.Client
	now          func() time.Time
	renewNow     chan struct{}

	mu       sync.RWMutex
	limiters map[link.Route]*routeLimiter
}

// NewLimiter returns a limiter for the links that join region to others. It
// grants only the floors until Run has leased larger shares. links returns the
// current links, leader the peer address of the leader and whether one is known.
func NewLimiter(host, region string, links func() []Link, leader func() (peerAddr string, ok bool), c *peer.Client, now func() time.Time) *Limiter {
	l := &Limiter{
		host: host, region: region, links: links, leader: leader, peers: c, now: now,
		renewNow: make(chan struct{}, 1), limiters: map[link.Route]*routeLimiter{},
	}
	l.refresh()
	return l
}

// Wait blocks until the bytes may pass between this host's region and another
// one, or until ctx ends. If it returns nil, the bytes have been charged to the
// share. Requests of up to Chunk bytes keep every 100 ms window within the
// share; larger ones keep only the average within it. Traffic within the region
// is not limited. A region without a link to this one is an error.
func (l *Limiter) Wait(ctx context.Context, otherRegion string, d traffic.Direction, c traffic.Class, bytes int) error {
	if otherRegion == l.region || bytes <= 0 {
		return nil
	}
	rl, err := l.routeLimiter(otherRegion, d)
	if err != nil {
		return err
	}
	return rl.wait(ctx, c, bytes)
}

// Chunk returns the largest number of bytes that one call of Wait should request.
func (l *Limiter) Chunk(otherRegion string, d traffic.Direction) int {
	rl, err := l.routeLimiter(otherRegion, d)
	if err != nil {
		return sameRegionChunk
	}
	return int(rl.read(func(s *link.Shaper, _ time.Time) float64 { return float64(s.Chunk()) }))
}

// sameRegionChunk is the chunk size, in bytes, where no link limits the traffic.
const sameRegionChunk = 64 << 10

// Headroom returns the recent usage and the current share, or zeros if no link
// joins the regions.
func (l *Limiter) Headroom(otherRegion string, d traffic.Direction) (usedBytesPerSecond, shareBytesPerSecond float64) {
	rl, err := l.routeLimiter(otherRegion, d)
	if err != nil {
		return 0, 0
	}
	return rl.read((*link.Shaper).Used), rl.read((*link.Shaper).Share)
}

// routeLimiter returns the limiter of the route to or from another region, or an
// error if no link joins the regions.
func (l *Limiter) routeLimiter(otherRegion string, d traffic.Direction) (*routeLimiter, error) {
	r := link.Route{From: l.region, To: otherRegion}
	if d == traffic.Inbound {
		r = link.Route{From: otherRegion, To: l.region}
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	rl, ok := l.limiters[r]
	if !ok {
		return nil, fmt.Errorf("no link from region %q to region %q", r.From, r.To)
	}
	return rl, nil
}

// refresh adds limiters for new links and updates the floors of known ones.
// Routes of removed links keep their last floor.
func (l *Limiter) refresh() {
	for _, lk := range l.links() {
		if !lk.hasRegion(l.region) {
			continue
		}
		floor := link.Floor(lk.BytesPerSecond, lk.Hosts)
		for _, r := range lk.routes() {
			l.mu.Lock()
			rl, ok := l.limiters[r]
			if !ok {
				l.limiters[r] = newRouteLimiter(r, floor, l.now, l.requestLease)
			}
			l.mu.Unlock()
			if ok {
				rl.update(func(s *link.Shaper, now time.Time) { s.SetFloor(now, floor) })
			}
		}
	}
}

// requestLease makes Run renew the leases before the next regular renewal. It
// does not block.
func (l *Limiter) requestLease() {
	select {
	case l.renewNow <- struct{}{}:
	default:
	}
}
