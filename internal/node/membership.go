package node

import "context"

// membership adapts the zone runtime to entry.Membership.
type membership struct{ entry *Entry }

// Leave hands over the coordination of the zone at once, so that no grant waits for a lease to expire.
func (m membership) Leave() { m.entry.zone.Leave() }

// Resign ends the zone runtime, which gives up its lease if it holds one again.
func (m membership) Resign(context.Context) error {
	m.entry.stopRuns()
	return nil
}
