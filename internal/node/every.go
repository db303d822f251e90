package node

import (
	"context"
	"time"
)

// every calls step at each interval until ctx ends, and returns the error of ctx.
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
