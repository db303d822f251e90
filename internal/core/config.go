package core

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
)

// Config describes a control host to start.
type Config struct {
	Name     string // IP of this host; names it in the agreement group
	Peer     string // IP:port for messages of other hosts
	Relay    string // IP:port for requests of entry hosts, empty if there is none
	Zone     string
	Region   string
	Folder   string
	Seeds    []string // peer addresses of some control hosts
	Founding bool     // the deployment starts for the first time
	// ToleratedLosses is the number of control hosts that may lose their disks at the
	// same time without a loss of what was acknowledged; 0 counts as 1.
	ToleratedLosses int
	Heartbeat       time.Duration // interval between the announcements of a target
	Server          *peer.Server
	Client          *peer.Client
	Log             *log.Logger
}
