package gateway

import (
	"context"
	"time"
)

const (
	// linkQueue is how long answers that were asked for may keep the own link
	// busy. Longer queues delay news of the control hosts and small answers.
	linkQueue = 750 * time.Millisecond
	// downloadBytes is the part of a download that its target sends before it
	// waits for this host.
	downloadBytes = 64 << 10
	// maxDownloads bounds the downloads at work on a fast link.
	maxDownloads = 512
)

// downloads bounds the large answers that are on their way at once.
type downloads struct{ slots chan struct{} }

func newDownloads(linkRate float64) *downloads {
	n := maxDownloads
	if linkRate > 0 {
		n = min(n, max(1, int(linkRate*linkQueue.Seconds()/downloadBytes)))
	}
	return &downloads{slots: make(chan struct{}, n)}
}

// acquire waits for a place. It reports false if none came free in time.
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

// release gives the place back.
func (d *downloads) release() { <-d.slots }
