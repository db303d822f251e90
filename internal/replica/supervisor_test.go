package replica

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

// contact is the time within which a member in contact has heard its leader.
const contact = time.Second

// supervised is a host whose member is run by a Supervisor.
type supervised struct {
	name       string
	disk       *memfs.Disk
	machine    *listMachine
	supervisor *Supervisor
}

// startSupervised opens a supervised host for each member of the cluster. run runs its
// supervisor until ctx ends.
func (c *cluster) startSupervised(ctx context.Context, run func(context.Context, *Supervisor)) []*supervised {
	c.t.Helper()
	var hosts []*supervised
	for _, m := range c.members {
		l, err := net.Listen("tcp", m.Peer)
		if err != nil {
			c.t.Fatal(err)
		}
		h := &supervised{name: m.Name, disk: memfs.New(), machine: &listMachine{}}
		server, client := peer.NewServer(m.Name), peer.NewClient(m.Name)
		h.supervisor = newSupervisor(Config{Host: m.Name, Members: c.members, Server: server, Client: client, Machine: h.machine,
			Log: log.NewWithOptions(c.t.Output(), log.Options{Prefix: m.Name, ReportTimestamp: true, TimeFormat: "05.000"})},
			wal.Options{Host: m.Name, Files: h.disk, SegmentBytes: 1 << 10})
		if err := h.supervisor.Open(); err != nil {
			c.t.Fatal(err)
		}
		var ended sync.WaitGroup
		ended.Go(func() { _ = server.Serve(ctx, l) }) // returns when ctx ends
		ended.Go(func() { run(ctx, h.supervisor) })
		c.t.Cleanup(func() { ended.Wait(); client.Close() })
		hosts = append(hosts, h)
	}
	return hosts
}

// leading returns the supervised host that leads, nil if there is none.
func leading(hosts []*supervised) *supervised {
	i := slices.IndexFunc(hosts, func(h *supervised) bool { return h.supervisor.Status().IsLeader })
	if i < 0 {
		return nil
	}
	return hosts[i]
}

// fill makes a disk refuse every write, or lets it take writes again.
func fill(d *memfs.Disk, full bool) {
	var err error
	if full {
		err = syscall.ENOSPC
	}
	for _, op := range []memfs.Op{memfs.OpCreate, memfs.OpWrite} {
		d.Fail(op, err)
	}
}

// Guards against a group whose disks are full for a while, one after another, and that
// accepts nothing for good since each failed member stays closed (issue 35).
func TestDisksFullOneAfterAnother(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	ctx, cancel := context.WithCancel(testContext(t))
	hosts := c.startSupervised(ctx, func(ctx context.Context, s *Supervisor) { s.Run(ctx) })
	t.Cleanup(cancel) // runs before the hosts are awaited
	var accepted []string
	accept := func() {
		command := fmt.Sprint("command ", len(accepted))
		c.waitFor(ctx, command+" is accepted", func() bool {
			h := leading(hosts)
			if h == nil {
				return false
			}
			_, err := h.supervisor.Propose(ctx, []byte(command))
			return err == nil
		})
		accepted = append(accepted, command)
	}
	for range 2 {
		for _, h := range hosts {
			accept()
			fill(h.disk, true)
			c.waitFor(ctx, h.name+" fails", func() bool {
				accept()
				return h.supervisor.Current() == nil
			})
			accept()
			fill(h.disk, false)
			c.waitFor(ctx, h.name+" is in contact again", func() bool {
				g := h.supervisor.Current()
				return g != nil && g.InContact(contact) && len(h.machine.list()) >= len(accepted)
			})
		}
	}
	accept()
	for _, h := range hosts {
		c.waitFor(ctx, h.name+" holds all commands", func() bool { return slices.Contains(h.machine.list(), accepted[len(accepted)-1]) })
		if err := onceInOrder(h.machine.list(), accepted); err != nil {
			t.Errorf("%s: %v", h.name, err)
		}
	}
}

// onceInOrder returns an error unless got holds each wanted command, in order. A command
// whose result was unknown may be there twice, since it was proposed again.
func onceInOrder(got, want []string) error {
	if compact := slices.Compact(got); !slices.Equal(compact, want) {
		return fmt.Errorf("holds %q, want %q", compact, want)
	}
	return nil
}
