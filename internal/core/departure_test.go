package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// hearAlone records an announcement at one host, which does not tell the others of it.
func hearAlone(h *host, life roster.Life) {
	h.node.targets.Apply(h.node.now(), roster.Report{Announcement: roster.Announcement{
		Name: "t", Life: life, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1}})
}

// leave tells a host that target "t" leaves and confirms it, until the host acknowledges it.
func leave(h *host) {
	eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := h.node.Leave(ctx, "t", 0)
		var confirm *ConfirmationError
		return errors.As(err, &confirm) && h.node.Leave(ctx, "t", confirm.Basis) == nil
	})
}

// Guards against a departure without an incarnation that is recorded for the one that the
// asked host happens to remember, while the target that leaves is a later one
// (review case 2).
func TestDepartureIsOfTheNewestIncarnation(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, 1)
	for _, h := range c.hosts {
		eventually(func() bool { return len(h.node.otherControls.known(h.node.now())) == 3 })
	}
	hearAlone(c.hosts[2], 1)
	hearAlone(c.hosts[0], 2)
	leave(c.hosts[2])
	for i, h := range c.hosts {
		eventually(func() bool { state, _ := h.node.machine.State(); return len(state.Orders.Departures) > 0 })
		state, _ := h.node.machine.State()
		if !state.HasDeparture(desired.Departure{Name: "t", Life: 2}) || state.HasDeparture(desired.Departure{Name: "t", Life: 3}) {
			t.Errorf("host %d holds the departures %+v, want one of life 2", i, state.Orders.Departures)
		}
	}
	if target, _ := c.hosts[2].node.targets.Find("t"); target.Life != 2 || !target.Leaving {
		t.Errorf("the asked host holds %+v, want life 2, leaving", target)
	}
}

// Guards against a departure that is acknowledged by a host which cannot know the newest
// incarnation, because a majority does not answer it.
func TestDepartureNeedsAnswersOfAMajority(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, 1)
	eventually(func() bool { return c.voters(2) == 3 })
	hearAlone(c.hosts[2], 1)
	for _, h := range c.hosts[:2] {
		h.stop()
	}
	if _, err := c.hosts[2].node.newestLife(t.Context(), "t"); err == nil {
		t.Error("a host without a majority claims to know the newest incarnation")
	}
	for _, h := range c.hosts[:2] {
		h.start(t, c.seeds, false)
	}
	leave(c.hosts[2])
}
