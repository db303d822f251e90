package replica

import "time"

// Counts is what a group has done since its start.
type Counts struct {
	Elections    uint64        // times that this host became a candidate
	ElectionsWon uint64        // times that it became the leader
	Entries      uint64        // entries of the history written to disk
	Syncs        uint64        // writes that were made durable
	SyncTime     time.Duration // of all Syncs together
	Inbox        int           // messages that wait for the loop
}

// Counts returns what the group has done since its start.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Inbox = len(g.inbox)
	return c
}
