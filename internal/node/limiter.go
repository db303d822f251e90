package node

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/internal/links"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// errNoRegion is returned until a bundle is in force, which defines the region of
// this host.
var errNoRegion = errors.New("the region of this host is not known yet")

// limiter wraps the link limiter, which is created once the region of this host is
// known.
type limiter struct {
	inner atomic.Pointer[links.Limiter]
	ready chan struct{} // closed by set
}

func newLimiter() *limiter { return &limiter{ready: make(chan struct{})} }

// set sets the link limiter. It must be called at most once.
func (l *limiter) set(inner *links.Limiter) {
	l.inner.Store(inner)
	close(l.ready)
}

// run renews the leases of link shares until ctx ends. It waits for set first.
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

// Chunk implements entry.Chunker. It returns 1 before set, when Wait fails anyway.
func (l *limiter) Chunk(otherRegion string, d traffic.Direction) int {
	inner := l.inner.Load()
	if inner == nil {
		return 1
	}
	return inner.Chunk(otherRegion, d)
}

// headroom returns the unused fraction, 0 to 1, of the current share; 0 without one.
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
