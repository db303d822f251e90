package relay

import (
	"net"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Config holds the settings and dependencies of a relay.
type Config struct {
	Codec hop.Codec
	// Address is the source of connections to targets, nil to let the system choose.
	Address net.IP
	// MaxIdleConnections limits the idle connections to targets that are kept.
	MaxIdleConnections int
	// Find returns the current state of a target and whether the target is at the
	// address. A relay forwards only to addresses that Find confirms.
	Find func(target, address string) (roster.Target, bool)
	// ReportLeaving is called when a target's answer says that it is about to exit.
	ReportLeaving func(target string, life roster.Life)
	Metrics       metrics.Registry
	Log           *log.Logger
}
