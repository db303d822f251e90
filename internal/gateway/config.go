package gateway

import (
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Config holds the settings and dependencies of an entry host.
type Config struct {
	Name               string
	Front              string // IP:port for callers
	Zone               string
	Region             string
	Regions            map[string]string // region of each availability zone
	Seeds              []string          // peer addresses of some control hosts
	RetryRatio         float64           // retries per request of a service, over all entry hosts
	RetrySlack         float64           // retries per RetryWindow allowed in addition, over all entry hosts
	RetryWindow        time.Duration
	ColdOverage        float64       // factor on the stated request rate of a cold target
	ColdSlack          float64       // requests a second that a cold target tolerates in addition
	Address            net.IP        // source of connections to targets and relays, nil to let the system choose
	MaxIdleConnections int           // idle connections to targets and relays that are kept
	ApplyLimit         time.Duration // time in which a policy has to be in force, 0 if not stated
	LinkRate           float64       // capacity of this host's link in bytes a second, 0 if unknown
	MemoryBytes        int           // memory of the process, 0 if it is not limited
	Codec              hop.Codec
	Decode             func(body []byte) (*policy.Policy, finding.List)
	Client             *peer.Client
	Log                *log.Logger
}

const (
	// heldAnswerDivisor is the divisor of the memory of the process that gives the limit
	// of held answers.
	heldAnswerDivisor = 8
	// defaultHeldAnswerBytes is that limit where the memory is not limited.
	defaultHeldAnswerBytes = 16 << 20
)

// heldAnswerBytes returns the limit of the parts over heldAnswer of answers that are held
// since requests behind them were passed on.
func (c *Config) heldAnswerBytes() int {
	if c.MemoryBytes > 0 {
		return c.MemoryBytes / heldAnswerDivisor
	}
	return defaultHeldAnswerBytes
}

// entry returns the part of this host's description that does not change.
func (c *Config) entry() fleet.Entry {
	return fleet.Entry{Name: c.Name, Front: c.Front, Zone: c.Zone, Region: c.Region}
}
