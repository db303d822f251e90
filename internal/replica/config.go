package replica

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
)

const (
	tickInterval = 25 * time.Millisecond
	// maxBatch bounds the inputs that share one write to disk.
	maxBatch = 256
	// inboxLength bounds messages that wait for the loop; more are dropped, as on a lossy network.
	inboxLength = 1024
	// probeInterval and probeTimeout find connections that are open but dead;
	// peer replaces a connection after 1 s of silence under a call.
	probeInterval = time.Second
	probeTimeout  = 1200 * time.Millisecond
	joinInterval  = 250 * time.Millisecond
	// silenceBeforeJoin is how long a member that hears no leader waits before
	// it asks for admission; a working group elects a new leader sooner.
	silenceBeforeJoin = 2 * time.Second
	retryInterval     = 50 * time.Millisecond
	// A snapshot is taken after this many entries or bytes of commands.
	snapshotEntries = 1000
	snapshotBytes   = 8 << 20
)

// StateMachine holds the state that the commands of the history build up. Its
// methods are called from one goroutine.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Member is a control host and the address of its peer server.
type Member struct{ Name, Peer string }

// Config describes a group to start.
type Config struct {
	Host    string
	Folder  string
	Members []Member // as listed at the first start; later the history decides
	// Peer is the own address; needed only if Members does not list Host.
	Peer string
	// AllowJoin admits hosts that Members does not list, and removes members that
	// stay silent for SilentAfter.
	AllowJoin   bool
	SilentAfter time.Duration
	// NoBootstrap forbids to found a group: the disk may have been lost.
	NoBootstrap bool
	Server      *peer.Server
	Client      *peer.Client
	Machine     StateMachine
	Log         *log.Logger
}

func (c *Config) check() error {
	if c.Server == nil || c.Client == nil || c.Machine == nil || c.Log == nil {
		return errors.New("replica: Server, Client, Machine and Log must be set")
	}
	names := map[string]bool{}
	for _, m := range c.Members {
		if names[m.Name] {
			return fmt.Errorf("replica: member %q is listed twice", m.Name)
		}
		names[m.Name] = true
	}
	if !names[c.Host] && (!c.AllowJoin || c.Peer == "") {
		return fmt.Errorf("replica: host %q is not one of the members", c.Host)
	}
	return nil
}

func (c *Config) peerAddress(name string) string {
	if name == c.Host && c.Peer != "" {
		return c.Peer
	}
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return ""
	}
	return c.Members[i].Peer
}
