package zone

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Config holds what the zone runtime of an entry host needs.
type Config struct {
	Host             string
	Incarnation      string
	AvailabilityZone string
	Bundle           func() *bundle.Bundle // bundle in force, nil before the first
	Server           *peer.Server
	Client           *peer.Client
	Log              *log.Logger
	Now              func() time.Time // nil for the system clock
}
