package entry

import (
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
)

// Config holds the settings of an HTTPServer and the parts of the entry host
// that it depends on.
type Config struct {
	Listener  net.Listener
	Host      string // name of this host, part of attempt identifiers
	Directory Directory
	Permits   Permits
	Claims    Claims
	Links     Links
	Lookups   Lookups
	Targets   Targets
	Ready     func() error // returns why the host cannot serve yet, or nil
	Retries   retry.Limits // DefaultLimits if zero
	Timeouts  Timeouts     // DefaultTimeouts if zero
	Registry  metrics.Registry
	Tracing   *telemetry.Tracing
	Log       *log.Logger
	Now       func() time.Time // time.Now if nil
}

func (c Config) withDefaults() (Config, error) {
	if c.Listener == nil || c.Directory == nil || c.Permits == nil || c.Claims == nil || c.Links == nil ||
		c.Lookups == nil || c.Targets == nil || c.Registry == nil || c.Tracing == nil || c.Log == nil {
		return c, errors.New("entry: incomplete configuration: a required field is nil")
	}
	if c.Ready == nil {
		c.Ready = func() error { return nil }
	}
	if c.Retries == (retry.Limits{}) {
		c.Retries = retry.DefaultLimits
	}
	if c.Timeouts == (Timeouts{}) {
		c.Timeouts = DefaultTimeouts
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c, nil
}
