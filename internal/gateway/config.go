package gateway

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Config describes an entry host.
type Config struct {
	Name        string
	Front       string // IP:port for callers
	Zone        string
	Region      string
	Regions     map[string]string // region of each availability zone
	Seeds       []string          // peer addresses of some control hosts
	RetryRatio  float64           // repeats that all hosts may send for each request of a service
	RetrySlack  float64           // repeats allowed besides, in RetryWindow
	RetryWindow time.Duration
	ColdOverage float64 // factor above the stated rate that a cold target still bears
	ColdSlack   float64 // requests a second that it bears besides
	MostIdle    int     // kept connections to targets and relays
	LinkRate    float64 // bytes a second of this host's own link, 0 if unknown
	Codec       hop.Codec
	Decode      func(body []byte) (*policy.Policy, finding.List)
	Client      *peer.Client
	Log         *log.Logger
}

func (c *Config) entry() fleet.Entry {
	return fleet.Entry{Name: c.Name, Front: c.Front, Zone: c.Zone, Region: c.Region}
}
