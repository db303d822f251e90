package node

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/internal/links"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// errNoRegion is returned before a bundle tells this host its region.
var errNoRegion = errors.New("the region of this host is not known yet")

// limiter holds the link limiter, which exists once the region of the host is known.
type limiter struct {
	inner atomic.Pointer[links.Limiter]
	ready chan struct{}
}

func newLimiter() *limiter { return &limiter{ready: make(chan struct{})} }

// set is called once.
func (l *limiter) set(inner *links.Limiter) {
	l.inner.Store(inner)
	close(l.ready)
}

// run leases shares until ctx ends.
func (l *limiter) run(ctx context.Context) error {
	select {
	case <-l.ready:
		return l.inner.Load().Run(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wait implements entry.Links.
func (l *limiter) Wait(ctx context.Context, otherRegion string, d traffic.Direction, c traffic.Class, bytes int) error {
	inner := l.inner.Load()
	if inner == nil {
		return errNoRegion
	}
	return inner.Wait(ctx, otherRegion, d, c, bytes)
}

// Chunk implements entry.Chunker.
func (l *limiter) Chunk(otherRegion string, d traffic.Direction) int {
	inner := l.inner.Load()
	if inner == nil {
		return 1
	}
	return inner.Chunk(otherRegion, d)
}

// headroom returns the unused fraction of the present share.
func (l *limiter) headroom(otherRegion string, d traffic.Direction) float64 {
	inner := l.inner.Load()
	if inner == nil {
		return 0
	}
	used, share := inner.Headroom(otherRegion, d)
	if share <= 0 {
		return 0
	}
	return max(0, 1-used/share)
}
