package relay

import (
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// Config describes a relay.
type Config struct {
	Codec hop.Codec
	// MostIdle bounds the kept connections to targets.
	MostIdle int
	// Known reports whether a target is at an address; a relay sends nowhere else.
	Known   func(target, address string) bool
	Metrics metrics.Registry
	Log     *log.Logger
}
