package core

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Config describes a control host to start.
type Config struct {
	Name      string // IP of this host; names it in the agreement group
	Peer      string // IP:port for messages of other hosts
	Zone      string
	Region    string
	Folder    string
	Seeds     []string // peer addresses of some control hosts
	Found     bool     // the deployment starts for the first time
	Heartbeat time.Duration
	// Decode reads a policy document.
	Decode func(body []byte) (*policy.Policy, finding.List)
	Server *peer.Server
	Client *peer.Client
	Log    *log.Logger
}
