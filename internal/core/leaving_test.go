package core

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// A departure that one entry host reports must reach every control host and survive a
// restart of all of them, like one that the target announced.
func TestReportedDepartureIsCommitted(t *testing.T) {
	c := newCluster(t, 3)
	n := c.hosts[0].node
	eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return n.Announce(ctx, roster.Announcement{Name: "t", Life: 7, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1}) == nil
	})
	if _, err := n.pull(context.Background(), "", fleet.PullRequest{Leaving: []desired.Departure{{Name: "t", Life: 7}}}); err != nil {
		t.Fatal(err)
	}
	if target, ok := n.targets.Find("t"); !ok || !target.Leaving {
		t.Errorf("the control host that was told uses the target on: %+v, known %v", target, ok)
	}
	leaves := func(h *host) bool {
		state, _ := h.node.machine.State()
		return state.HasDeparture(desired.Departure{Name: "t", Life: 7})
	}
	for _, h := range c.hosts {
		eventually(func() bool { return leaves(h) })
	}
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		h.start(t, c.seeds, false)
	}
	for _, h := range c.hosts {
		eventually(func() bool { return leaves(h) })
	}
}
