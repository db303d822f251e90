package relay

import (
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Config holds the settings and dependencies of a relay.
type Config struct {
	Codec hop.Codec
	// MaxIdleConnections limits the idle connections to targets that are kept.
	MaxIdleConnections int
	// Find returns the current life of a target and whether the target is at the
	// address. A relay forwards only to addresses that Find confirms.
	Find    func(target, address string) (roster.Life, bool)
	Metrics metrics.Registry
	Log     *log.Logger
}
