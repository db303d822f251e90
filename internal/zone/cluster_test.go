package zone

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// testHost is an entry host on loopback.
type testHost struct {
	*Zone
	name     string
	az       string
	addr     string
	bundle   atomic.Pointer[bundle.Bundle] // may list other hosts at addresses that never answer, see cut
	client   *peer.Client
	stop     context.CancelFunc
	closed   chan struct{}
	listener net.Listener
}

// cluster is a deployment with two regions: r1 with zones a and b, and r2 with
// zone c.
type cluster struct {
	t     testing.TB
	hosts map[string]*testHost
	next  int
	mu    sync.Mutex // guards the Zone of each host, which a restart replaces while targets are announced
}

var testZones = []bundle.AvailabilityZone{
	{Name: "a", Region: "r1", TargetPrefixes: []string{"10.1.0.0/16"}},
	{Name: "b", Region: "r1", TargetPrefixes: []string{"10.2.0.0/16"}},
	{Name: "c", Region: "r2", TargetPrefixes: []string{"10.3.0.0/16"}},
}

func newCluster(t testing.TB, perZone int, zones ...string) *cluster {
	c := &cluster{t: t, hosts: map[string]*testHost{}}
	for _, az := range zones {
		for i := range perZone {
			h := &testHost{name: fmt.Sprintf("%s%d", az, i), az: az}
			l := nettest.Listen(t)
			h.listener, h.addr = l, l.Addr().String()
			c.hosts[h.name] = h
		}
	}
	for _, h := range c.hosts {
		h.bundle.Store(c.bundle())
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			c.kill(h)
		}
	})
	return c
}

func (c *cluster) bundle(drains ...bundle.Drain) *bundle.Bundle {
	b := &bundle.Bundle{
		Zones:    testZones,
		Links:    []bundle.Link{{Regions: [2]string{"r1", "r2"}, LatencyMs: 12}},
		Services: []bundle.Service{{Name: "limits", Slots: 3, RequestTimeoutMs: 2000}},
		Drains:   drains,
	}
	for _, h := range c.hosts {
		b.Hosts = append(b.Hosts, bundle.Host{Name: h.name, AvailabilityZone: h.az, Role: bundle.RoleEntry, Peer: h.addr})
	}
	return b
}

func (c *cluster) start(h *testHost) {
	c.next++
	server := peer.NewServer(h.name)
	h.client = peer.NewClient(h.name)
	z := New(Config{
		Host: h.name, Incarnation: fmt.Sprintf("i%d", c.next), AvailabilityZone: h.az,
		Bundle: h.bundle.Load, Server: server, Client: h.client, Log: log.New(io.Discard),
	})
	c.mu.Lock()
	h.Zone = z
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.closed = cancel, make(chan struct{})
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(ctx, h.listener) }()
	go func() {
		defer close(h.closed)
		_ = z.Run(ctx)
		<-served
	}()
}

// kill stops a host as a crash does. Its connections are closed first, because a
// stopped Zone still sends the release of its lease.
func (c *cluster) kill(h *testHost) {
	h.client.Close()
	h.stop()
	_ = h.listener.Close()
	<-h.closed
}

// cut makes a host see others at an address that accepts connections but never
// answers, as in a partition that drops packets silently.
func (c *cluster) cut(h *testHost, others func(name string) bool) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = silent.Close() })
	b := c.bundle()
	for i, other := range b.Hosts {
		if other.Name != h.name && others(other.Name) {
			b.Hosts[i].Peer = silent.Addr().String()
		}
	}
	h.bundle.Store(b)
}

// coordinator waits until a host coordinates the zone and has completed its
// recovery, and returns it.
func (c *cluster) coordinator(az string) *testHost {
	var found *testHost
	c.eventually("coordinator of "+az, func() bool {
		for _, h := range c.hosts {
			if h.az != az {
				continue
			}
			if own, _ := h.lease(); own != nil && !own.recovering() {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// eventually waits for a condition. The limit of about 30 s only ends a test that
// hangs.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// announce keeps announcing a target through a host of its zone until the test
// ends. It returns once the first announcement is accepted.
func (c *cluster) announce(h *testHost, address string, slotCount int) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	first := make(chan struct{})
	go func() {
		defer close(done)
		accepted := false
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			c.mu.Lock()
			z := h.Zone
			c.mu.Unlock()
			err := z.Announce(ctx, Announcement{
				Service: "limits", Address: address, AvailabilityZone: h.az, Incarnation: 1, Sequence: sequence, Slots: slotCount,
			})
			if err == nil && !accepted {
				accepted = true
				close(first)
			}
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	c.t.Cleanup(func() { cancel(); <-done })
	<-first
}

func (c *cluster) acquire(h *testHost, wait time.Duration, remote bool) (*Permit, error) {
	return h.Acquire(context.Background(), Request{Service: "limits", Deadline: time.Now().Add(wait), AllowRemote: remote})
}

func (c *coordinator) recovering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.Recovering()
}

// restart starts a killed host again at the same address, with a new incarnation.
func (c *cluster) restart(h *testHost) {
	l, err := net.Listen("tcp", h.addr)
	if err != nil {
		c.t.Fatal(err)
	}
	h.listener = l
	c.start(h)
}

// stats returns a coordinator's counts for the service.
func (c *cluster) stats(h *testHost) slots.Stats {
	own, _ := h.lease()
	if own == nil {
		return slots.Stats{}
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.pool.Stats(time.Now())["limits"]
}
