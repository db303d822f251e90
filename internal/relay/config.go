package relay

import (
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Config describes a relay.
type Config struct {
	Codec hop.Codec
	// MostIdle bounds the kept connections to targets.
	MostIdle int
	// Find returns the present life of a target, and whether it is at the address;
	// a relay sends nowhere else.
	Find    func(target, address string) (roster.Life, bool)
	Metrics metrics.Registry
	Log     *log.Logger
}
