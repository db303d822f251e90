package slots

// State is a target's own view of whether it takes new work.
type State string

// States of a target.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// Announcement is what a target tells about itself.
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
