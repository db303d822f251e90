package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

// listMachine is a state machine that keeps all commands in order.
type listMachine struct {
	mu       sync.Mutex
	commands [][]byte
}

func (m *listMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, slices.Clone(command))
	return fmt.Appendf(nil, "%d:%s", len(m.commands), command)
}

func (m *listMachine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := cbor.Marshal(m.commands)
	if err != nil {
		panic(err)
	}
	return data
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return cbor.Unmarshal(snapshot, &m.commands)
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []string
	for _, c := range m.commands {
		l = append(l, string(c))
	}
	return l
}

// host is a member with its own peer server and folder. group is nil while the
// host is stopped.
type host struct {
	name    string
	folder  string
	group   *Group
	machine *listMachine
	client  *peer.Client
	cancel  context.CancelFunc
	served  chan struct{}
}

// cluster runs a group of hosts on loopback.
type cluster struct {
	t       testing.TB
	members []Member
	hosts   map[string]*host
	files   map[string]wal.Files // by host: replaces the operating system's files
}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{t: t, hosts: map[string]*host{}, files: map[string]wal.Files{}}
	folder := t.TempDir()
	for _, name := range names {
		l := nettest.Listen(t)
		defer func() { _ = l.Close() }() // start listens on the address again
		c.members = append(c.members, Member{Name: name, Peer: l.Addr().String()})
		c.hosts[name] = &host{name: name, folder: filepath.Join(folder, name)}
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			c.stop(h.name)
		}
	})
	return c
}

func (c *cluster) start(name string) *Group {
	c.t.Helper()
	h := c.hosts[name]
	i := slices.IndexFunc(c.members, func(m Member) bool { return m.Name == name })
	l, err := net.Listen("tcp", c.members[i].Peer)
	if err != nil {
		c.t.Fatal(err)
	}
	server := peer.NewServer(name)
	h.client, h.machine, h.served = peer.NewClient(name), &listMachine{}, make(chan struct{})
	h.group, err = start(Config{
		Host: name, Members: c.members, Server: server, Client: h.client, Machine: h.machine,
		Folder: h.folder, Log: log.NewWithOptions(c.t.Output(), log.Options{Prefix: name, ReportTimestamp: true, TimeFormat: "05.000"}),
	}, wal.Options{Folder: h.folder, Host: name, Files: c.files[name]}, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	served := h.served
	go func() { defer close(served); _ = server.Serve(ctx, l) }()
	return h.group
}

func (c *cluster) startAll() {
	for _, m := range c.members {
		c.start(m.Name)
	}
}

func (c *cluster) stop(name string) {
	h := c.hosts[name]
	if h.group == nil {
		return
	}
	h.cancel()
	h.client.Close()
	h.group.Stop()
	<-h.served
	h.group = nil
}

// propose sends the command to the leader, whichever host that is, and retries
// until it is accepted. Errors other than *NotLeaderError fail the test.
func (c *cluster) propose(ctx context.Context, command string) string {
	c.t.Helper()
	for ctx.Err() == nil {
		for _, h := range c.hosts {
			if h.group == nil || !h.group.Status().IsLeader {
				continue
			}
			result, err := h.group.Propose(ctx, []byte(command))
			var notLeader *NotLeaderError
			if errors.As(err, &notLeader) {
				continue
			}
			if err != nil {
				c.t.Fatalf("propose %q: %v", command, err)
			}
			return string(result)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("propose %q: %v", command, ctx.Err())
	return ""
}

// waitFor polls a condition until it holds. The deadline of ctx only ends a test
// that hangs.
func (c *cluster) waitFor(ctx context.Context, what string, ok func() bool) {
	c.t.Helper()
	for !ok() {
		if ctx.Err() != nil {
			c.t.Fatalf("waiting until %s: %v", what, ctx.Err())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leader returns a running host that leads, nil if there is none.
func (c *cluster) leader() *host {
	for _, h := range c.hosts {
		if h.group != nil && h.group.Status().IsLeader {
			return h
		}
	}
	return nil
}

// seesVoter reports whether the host viewer knows of a committed membership in
// which the host name is a voter.
func (c *cluster) seesVoter(viewer, name string) bool {
	g := c.hosts[viewer].group
	s := g.Status()
	return slices.ContainsFunc(s.Members, func(m MemberStatus) bool { return m.Name == name && m.Voter }) &&
		s.Commit >= g.nodeStatus().Members.Index
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var _ StateMachine = (*listMachine)(nil)
