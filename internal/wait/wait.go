// Package wait provides a pause that ends early when its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if it ends first.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
