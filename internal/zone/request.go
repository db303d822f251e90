package zone

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Request asks for a slot of a service.
type Request struct {
	Service     string
	Class       traffic.Class
	Deadline    time.Time
	Exclude     []string // targets (IP:port) at which this request has already failed
	AllowRemote bool     // other regions may serve it
}
