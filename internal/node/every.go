package node

import (
	"context"
	"time"
)

// every runs step at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			step()
		}
	}
}
