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

// Limiter holds one entry host's traffic on the links of its region below its shares.
type Limiter struct {
	host, region string
	links        func() []Link
	leader       func() (peerAddr string, ok bool)
	peers        *peer.Client
	now          func() time.Time
	kick         chan struct{}

	mu    sync.RWMutex
	pipes map[link.Route]*pipe
}

// NewLimiter returns a limiter that has floors only, until Run leases more.
func NewLimiter(host, region string, links func() []Link, leader func() (peerAddr string, ok bool), c *peer.Client, now func() time.Time) *Limiter {
	l := &Limiter{
		host: host, region: region, links: links, leader: leader, peers: c, now: now,
		kick: make(chan struct{}, 1), pipes: map[link.Route]*pipe{},
	}
	l.refresh()
	return l
}

// Wait blocks until the bytes may pass between the own and another region, or
// ctx ends. The bytes are charged when it returns nil. Requests of up to Chunk
// bytes keep any 100 ms window below the share; larger ones do so only on average.
func (l *Limiter) Wait(ctx context.Context, otherRegion string, d traffic.Direction, c traffic.Class, bytes int) error {
	if otherRegion == l.region || bytes <= 0 {
		return nil
	}
	p, err := l.pipe(otherRegion, d)
	if err != nil {
		return err
	}
	return p.wait(ctx, c, bytes)
}

// Chunk returns the largest number of bytes to pass to one Wait.
func (l *Limiter) Chunk(otherRegion string, d traffic.Direction) int {
	p, err := l.pipe(otherRegion, d)
	if err != nil {
		return sameRegionChunk
	}
	return int(p.read(func(s *link.Shaper, _ time.Time) float64 { return float64(s.Chunk()) }))
}

// sameRegionChunk is the advised size of writes that are not limited, in bytes.
const sameRegionChunk = 64 << 10

// Headroom returns the bytes per second used lately and the current share.
func (l *Limiter) Headroom(otherRegion string, d traffic.Direction) (usedBytesPerSecond, shareBytesPerSecond float64) {
	p, err := l.pipe(otherRegion, d)
	if err != nil {
		return 0, 0
	}
	return p.read((*link.Shaper).Used), p.read((*link.Shaper).Share)
}

func (l *Limiter) pipe(otherRegion string, d traffic.Direction) (*pipe, error) {
	r := link.Route{From: l.region, To: otherRegion}
	if d == traffic.Inbound {
		r = link.Route{From: otherRegion, To: l.region}
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	p, ok := l.pipes[r]
	if !ok {
		return nil, fmt.Errorf("no link from region %q to region %q", r.From, r.To)
	}
	return p, nil
}

// refresh follows changes of the links. Routes of removed links keep their floor.
func (l *Limiter) refresh() {
	for _, lk := range l.links() {
		if !lk.touches(l.region) {
			continue
		}
		floor := link.Floor(lk.BytesPerSecond, lk.Hosts)
		for _, r := range lk.routes() {
			l.mu.Lock()
			p, ok := l.pipes[r]
			if !ok {
				l.pipes[r] = newPipe(r, floor, l.now, l.starved)
			}
			l.mu.Unlock()
			if ok {
				p.update(func(s *link.Shaper, now time.Time) { s.SetFloor(now, floor) })
			}
		}
	}
}

// starved asks for a lease without waiting for the next renewal.
func (l *Limiter) starved() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}
