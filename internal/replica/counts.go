package replica

import "time"

// Counts holds counters since the start of the group on this host, and the length
// of the inbox.
type Counts struct {
	Elections    uint64        // elections that this host started
	ElectionsWon uint64        // elections that it won
	Entries      uint64        // log entries written to disk
	Syncs        uint64        // writes made durable
	SyncTime     time.Duration // total duration of the Syncs
	Inbox        int           // messages waiting for the loop
}

// Counts returns the current counters.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Inbox = len(g.inbox)
	return c
}
