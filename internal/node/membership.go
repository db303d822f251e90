package node

import (
	"context"
	"time"
)

// membership adapts the zone runtime to entry.Membership.
type membership struct{ entry *Entry }

// Leave hands over the coordination of the zone at once, so that no grant waits for a lease to expire.
func (m membership) Leave() { m.entry.zone.Leave() }

// Resign ends the zone runtime, which gives up its lease if it holds one again.
func (m membership) Resign(context.Context) error {
	m.entry.stopRuns()
	return nil
}

// sleep waits for the duration or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
