package slots

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Request asks for one slot of a service.
type Request struct {
	ID       ID
	Service  string
	Class    traffic.Class
	Deadline time.Time // the target must have ended its work, or started to respond, by then
	MaxWait  time.Duration
	Exclude  []string // targets that must not be chosen
}

// Grant assigns a slot of a target to a request.
type Grant struct {
	ID     ID
	Target string // IP:port
}

// Decision ends the wait of a queued request. Err is nil if a slot was granted.
type Decision struct {
	Grant
	Err error
}

// HeldPermit is a permit that its holder reports to a new coordinator.
type HeldPermit struct {
	Number  uint64
	Service string
	Target  string
	Until   time.Time // the target must have ended the work by then
}
