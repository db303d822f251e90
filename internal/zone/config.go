package zone

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Config configures the zone runtime of an entry host.
type Config struct {
	Host             string
	Incarnation      string
	AvailabilityZone string
	Bundle           func() *bundle.Bundle // bundle in force, nil before the first one
	Server           *peer.Server
	Client           *peer.Client
	Log              *log.Logger
	Now              func() time.Time // nil for the system clock
}
