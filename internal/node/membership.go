package node

import "context"

// membership adapts the zone runtime to entry.Membership.
type membership struct{ entry *Entry }

// Leave hands over the coordination of the zone at once, so that slot grants need
// not wait for the lease of this host to expire.
func (m membership) Leave() { m.entry.zone.Leave() }

// Resign ends the zone runtime, which releases the coordination lease if this host
// has acquired it again.
func (m membership) Resign(context.Context) error {
	m.entry.stopTasks()
	return nil
}
