package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// fakeControl is a control host that answers pulls with a test's function.
type fakeControl struct {
	address string
	mu      sync.Mutex
	reply   func(fleet.PullRequest) fleet.PullReply
	pulls   int
}

func newFakeControl(t *testing.T, reply func(fleet.PullRequest) fleet.PullReply) *fakeControl {
	t.Helper()
	l := nettest.Listen(t)
	c := &fakeControl{address: l.Addr().String(), reply: reply}
	server := peer.NewServer("control")
	peer.Register(server, fleet.MethodPull, func(_ context.Context, _ string, req fleet.PullRequest) (fleet.PullReply, error) {
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pulls++
		return c.reply(req), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l) // returns when ctx ends
	}()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// count returns the number of pulls answered so far.
func (c *fakeControl) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pulls
}

// newWatchingGateway returns an entry host that decodes a policy from one byte, its
// version.
func newWatchingGateway(t *testing.T, seeds ...string) *Gateway {
	t.Helper()
	client := peer.NewClient("g")
	t.Cleanup(client.Close)
	return New(Config{Name: "g", Zone: "z", Region: "r", Seeds: seeds, RetryWindow: time.Second,
		Client: client, Log: log.New(io.Discard), Codec: fakeCodec{},
		Decode: func(body []byte) (*policy.Policy, finding.List) {
			return &policy.Policy{Version: policy.Version(body[0])}, nil
		}})
}

// Guards against an entry host that waits for a control host that is down or cut
// off, that returns to older state, or that is ready before it has any.
func TestWatchTurnsToControlHostsInContact(t *testing.T) {
	document := func(v policy.Version) *desired.Document { return &desired.Document{Version: v, Body: []byte{byte(v)}} }
	stale := newFakeControl(t, func(fleet.PullRequest) fleet.PullReply {
		return fleet.PullReply{Fresh: false, Document: document(1)}
	})
	fresh := newFakeControl(t, func(req fleet.PullRequest) fleet.PullReply {
		reply := fleet.PullReply{Fresh: true, Index: 4, EntryCount: 9, Rank: 2}
		if req.Version < 7 {
			reply.Document = document(7)
		}
		if req.Orders < 4 {
			reply.Orders = &desired.Orders{Evacuated: []string{"z9"}, Departures: []desired.Departure{{Name: "t", Life: 3}}}
		}
		return reply
	})
	dead := nettest.Listen(t)
	_ = dead.Close()
	g := newWatchingGateway(t, dead.Addr().String(), stale.address, fresh.address)
	if g.Ready() {
		t.Error("ready without any news")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.watch.run(ctx)
	}()
	defer func() { cancel(); <-done }()
	for fresh.count() < 20 || stale.count() < 2 || !g.Ready() {
		time.Sleep(time.Millisecond) // bounded by the test timeout
	}
	version, orders := g.view.versions()
	if version != 7 || orders != 4 {
		t.Errorf("version %d and orders %d are in force, want 7 and 4", version, orders)
	}
	if rank, hosts := g.view.place(); rank != 2 || hosts != 9 {
		t.Errorf("place %d of %d, want 2 of 9", rank, hosts)
	}
	g.view.targets.Apply(g.now(), roster.Report{Announcement: roster.Announcement{Name: "t", Life: 3, Sequence: 1}})
	if target, _ := g.view.targets.Find("t"); !target.Leaving {
		t.Error("a departure that arrived before the announcement is lost")
	}
	if fresh.count() < 3*stale.count() {
		t.Errorf("%d pulls from the control host in contact, %d from the other", fresh.count(), stale.count())
	}
}
