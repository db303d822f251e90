package gateway

import (
	"context"
	"time"
)

const (
	// linkQueue is the longest queue on this host's link that concurrent downloads
	// may cause. A longer one delays control host replies and small answers.
	linkQueue = 750 * time.Millisecond
	// downloadBytes is the number of bytes of a download that its target sends
	// before it waits for this host.
	downloadBytes = 64 << 10
	// maxDownloads bounds the concurrent downloads on a fast link.
	maxDownloads = 512
)

// downloads limits the number of concurrent downloads.
type downloads struct{ slots chan struct{} }

func newDownloads(linkRate float64) *downloads {
	n := maxDownloads
	if linkRate > 0 {
		n = min(n, max(1, int(linkRate*linkQueue.Seconds()/downloadBytes)))
	}
	return &downloads{slots: make(chan struct{}, n)}
}

// acquire waits for a slot. It returns false if none becomes free within limit or
// before ctx ends.
func (d *downloads) acquire(ctx context.Context, limit time.Duration) bool {
	select {
	case d.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case d.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// release returns a slot.
func (d *downloads) release() { <-d.slots }
