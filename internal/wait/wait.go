// Package wait holds pauses that end early with their context.
package wait

import (
	"context"
	"time"
)

// For returns after d, or with the error of ctx if that ends first.
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
