package core

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// hostIP returns the loopback address of host i of a group of hosts. It depends on the
// process, so that runs of the tests at the same time do not share addresses.
func hostIP(group, i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)&63, pid&255, 16*group+i)
}

// host is a control host of the test with its own loopback address.
type host struct {
	ip     string
	folder string
	node   *Node
	client *peer.Client
	stop   context.CancelFunc
}

// start starts the control host on its folder; found is true for a new deployment.
func (h *host) start(t *testing.T, seeds []string, found bool) {
	t.Helper()
	address := h.ip + ":19461"
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := peer.NewServer(h.ip)
	h.client = peer.NewClient(h.ip)
	h.client.Bind(net.ParseIP(h.ip))
	h.node = Start(ctx, Config{
		Name: h.ip, Peer: address, Zone: "z" + h.ip, Region: "r", Folder: h.folder, Seeds: seeds, Founding: found,
		Heartbeat: time.Second, Server: server, Client: h.client, Log: log.New(io.Discard),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener) // returns when ctx ends
	}()
	h.stop = func() {
		cancel()
		<-done
		h.node.Wait()
		h.client.Close()
	}
}

// cluster is a deployment of control hosts.
type cluster struct {
	t     *testing.T
	hosts []*host
	seeds []string
}

// newCluster founds a deployment of n control hosts, of which the first three are seeds.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t}
	for i := range n {
		h := &host{ip: hostIP(1, i), folder: t.TempDir()}
		c.hosts = append(c.hosts, h)
		if i < 3 {
			c.seeds = append(c.seeds, h.ip+":19461")
		}
	}
	for _, h := range c.hosts {
		h.start(t, c.seeds, true)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.stop()
		}
	})
	return c
}

// eventually waits for a condition. If it never holds, the time limit of the test
// ends the wait.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// voters returns the number of voting members as seen by host i, 0 if its group is down.
func (c *cluster) voters(i int) int {
	g := c.hosts[i].node.currentGroup()
	if g == nil {
		return 0
	}
	return voters(g.Status().Members)
}

// put commits a document through host i.
func (c *cluster) put(i int, v policy.Version) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.hosts[i].node.Submit(ctx, desired.Command{Document: &desired.Document{Version: v, Body: []byte(fmt.Sprint(v))}}); err != nil {
		c.t.Fatalf("submit version %d at host %d: %v", v, i, err)
	}
}

// read returns the version in force according to host i. It retries until a read
// succeeds.
func (c *cluster) read(i int) policy.Version {
	var v policy.Version
	eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s, err := c.hosts[i].node.Current(ctx)
		v = s.Document.Version
		return err == nil
	})
	return v
}

// Guards against a group that does not grow beyond its seeds, loses committed state
// with one disk, or lets a host that lost its disk vote before it has caught up.
func TestGroupGrowsAndSurvivesALostDisk(t *testing.T) {
	c := newCluster(t, 5)
	eventually(func() bool { return c.voters(0) == 5 })
	c.put(3, 7)
	for i := range c.hosts {
		if v := c.read(i); v != 7 {
			t.Errorf("host %d reads version %d, want 7", i, v)
		}
	}
	c.hosts[1].stop()
	c.hosts[1].folder = t.TempDir()
	c.hosts[1].start(t, c.seeds, false)
	c.put(4, 9)
	if v := c.read(1); v != 9 {
		t.Errorf("the host that lost its disk reads version %d, want 9", v)
	}
	eventually(func() bool { return c.voters(1) == 5 })
}

// Guards against committed state that is lost when all hosts restart, and against a
// host with an empty disk that founds a second group.
func TestRestartOfAll(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, 3)
	for _, h := range c.hosts {
		h.stop()
	}
	c.hosts[2].folder = t.TempDir()
	for _, h := range c.hosts {
		h.start(t, c.seeds, false)
	}
	for i := range c.hosts {
		if v := c.read(i); v != 3 {
			t.Errorf("host %d reads version %d, want 3", i, v)
		}
	}
}

// Guards against a host that loses its disk in a power loss of all hosts and never
// rejoins the group, because it cannot answer a leader that is not a seed
// (kll-limits, inc-6c4c).
func TestLostDiskAndALeaderThatIsNoSeed(t *testing.T) {
	const wiped, seeds = 1, 3
	c := newCluster(t, 5)
	eventually(func() bool { return c.voters(0) == 5 })
	c.put(0, 7)
	leader := func() int {
		return slices.IndexFunc(c.hosts, func(h *host) bool {
			g := h.node.currentGroup()
			return g != nil && g.Status().IsLeader
		})
	}
	for led := false; !led; led = leader() >= seeds {
		for _, h := range c.hosts {
			h.stop()
		}
		c.hosts[wiped].folder = t.TempDir()
		for _, h := range c.hosts {
			h.start(t, c.seeds, false)
		}
		eventually(func() bool { return leader() >= 0 })
	}
	if v := c.read(wiped); v != 7 {
		t.Errorf("the host that lost its disk reads version %d, want 7", v)
	}
	eventually(func() bool { return c.voters(wiped) == 5 })
}

// Guards against a host without a quorum that acknowledges commands or answers reads.
func TestMinorityAcceptsNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, 3)
	c.hosts[0].stop()
	c.hosts[1].stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	if err := c.hosts[2].node.Submit(ctx, desired.Command{Evacuate: "z"}); err == nil {
		t.Error("an order was accepted without a quorum")
	}
	if _, err := c.hosts[2].node.Current(ctx); err == nil {
		t.Error("a read was answered without a quorum")
	}
	if err := c.hosts[2].node.Announce(context.Background(), roster.Announcement{Name: "t"}); err == nil {
		t.Error("an announcement was acknowledged without a quorum")
	}
	c.hosts[0].start(t, c.seeds, false)
	c.hosts[1].start(t, c.seeds, false)
}

// Guards against entry hosts that miss changes reported to a control host other than
// the one they pull from.
func TestChangesReachEntryHostsOfOtherControlHosts(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, 3)
	announcement := roster.Announcement{Name: "t", Life: 5, Sequence: 1, Service: "s", Address: "a:1", Zone: "z", Slots: 2}
	eventually(func() bool { return c.hosts[0].node.Announce(context.Background(), announcement) == nil })
	entry := fleet.Entry{Name: "e", Front: "f:1", Zone: "z", Region: "r", Ready: true, Started: 1}
	req := fleet.PullRequest{Entry: entry, Wait: 100 * time.Millisecond}
	known := map[string]bool{}
	pull := func() fleet.PullReply {
		reply, err := c.hosts[1].node.pull(context.Background(), "", req)
		if err != nil {
			t.Fatal(err)
		}
		req.Epoch, req.Revision = reply.Epoch, reply.Revision
		if reply.Document != nil {
			req.Version = reply.Document.Version
		}
		for _, r := range reply.Targets {
			known[r.Name] = !r.Leaving
		}
		if reply.Orders != nil {
			req.Orders = reply.Index
		}
		return reply
	}
	eventually(func() bool { pull(); return req.Version == 3 && known["t"] })
	leave(c.hosts[2])
	eventually(func() bool { reply := pull(); return reply.Orders != nil || !known["t"] })
	eventually(func() bool { return len(c.hosts[2].node.EntriesFor("r", "z")) == 1 || pull().EntryCount < 0 })
	if fronts := c.hosts[2].node.EntriesFor("r", "elsewhere"); len(fronts) != 1 || fronts[0] != "f:1" {
		t.Errorf("callers of the region are sent to %v, want f:1", fronts)
	}
}

// Guards against a Wait that returns while the host still writes to its folder, which
// would interfere with a restart on the folder or with its removal.
func TestStoppedHostWritesNothing(t *testing.T) {
	folder := t.TempDir()
	for round := range 20 {
		h := &host{ip: hostIP(2, 0), folder: filepath.Join(folder, fmt.Sprint(round))}
		h.start(t, []string{hostIP(2, 0) + ":19461", hostIP(2, 1) + ":19461", hostIP(2, 2) + ":19461"}, true)
		time.Sleep(time.Duration(round) * time.Millisecond) // interrupts the start at different points
		h.stop()
		if err := os.RemoveAll(h.folder); err != nil {
			t.Fatalf("round %d: the folder is still written to: %v", round, err)
		}
	}
	left, err := os.ReadDir(folder)
	if err != nil || len(left) > 0 {
		t.Errorf("%d folders were created again after the stop, error %v", len(left), err)
	}
}
