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
	// tickInterval is the time between ticks of the node.
	tickInterval = 25 * time.Millisecond
	// maxBatch limits how many further inputs share one write to disk with the
	// first one.
	maxBatch = 256
	// inboxLength and inboxBytes limit the messages that wait for the loop, as
	// while the disk stands still. Further ones are dropped; the protocol
	// tolerates lost messages.
	inboxLength = 1024
	inboxBytes  = 16 << 20
	// probeInterval is the time between calls that detect connections which
	// are open but dead. probeTimeout exceeds the 1 s of silence during a call
	// after which package peer replaces the connection.
	probeInterval = time.Second
	probeTimeout  = 1200 * time.Millisecond
	// joinInterval is the time between attempts to become a member.
	joinInterval = 250 * time.Millisecond
	// silenceBeforeJoin is how long a member that hears no leader waits before
	// it asks for admission; a working group elects a new leader sooner.
	silenceBeforeJoin = 2 * time.Second
	// retryInterval is the pause before a read or replacement is tried again.
	retryInterval = 50 * time.Millisecond
	// A snapshot is taken after this many entries or bytes of commands.
	snapshotEntries = 1000
	snapshotBytes   = 8 << 20
)

// StateMachine is the state that results from applying the committed commands in
// order. Apply returns the result for the proposer. The methods are never called
// concurrently.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Member is a control host with the address of its peer server.
type Member struct{ Name, Peer string }

// Config describes a group to start.
type Config struct {
	Host    string   // name of this host
	Folder  string   // of the write-ahead log
	Members []Member // initial members; later the log determines them
	// Peer is this host's own address; needed only if Members does not list Host.
	Peer string
	// AllowJoin admits hosts that Members does not list. SilentAfter is how
	// long a member may stay silent before it is removed; 0 means that it stays.
	AllowJoin   bool
	SilentAfter time.Duration
	// ToleratedLosses is the number of members that may lose their disks at the
	// same time; see agree.Options.
	ToleratedLosses int
	// NoBootstrap keeps this host from bootstrapping a group, since it may have
	// lost its disk.
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
		return fmt.Errorf("replica: host %q is not listed in Members; to join the group it needs AllowJoin and Peer", c.Host)
	}
	return nil
}

// peerAddress returns the configured address of a host, "" if there is none.
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
