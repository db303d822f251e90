package slots

// State is a target's own report of whether it accepts new work.
type State string

// States of a target.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// Announcement is a target's report of its identity, state and capacity.
type Announcement struct {
	Service     string
	Address     string // IP:port
	Incarnation uint64
	Sequence    uint64
	Slots       int
	Connections int
	State       State
	Load        float64 // share of the slots in use, as the target sees it
}
