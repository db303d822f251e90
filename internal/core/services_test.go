package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// announcement returns one of target "t", which serves "s" in its life 5.
func announcement(service string, life roster.Life, sequence uint64) roster.Announcement {
	return roster.Announcement{Name: "t", Life: life, Sequence: sequence, Service: service, Address: "127.0.0.1:1", Zone: "z", Slots: 1}
}

// announce announces a target until the host acknowledges it.
func announce(h *host, a roster.Announcement) {
	eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return h.node.Announce(ctx, a) == nil
	})
}

// Guards against an entry of another writer that ends a target at the control hosts which
// hear of it from others, after a restart that reads the policy from disk, or by a departure
// that is committed for it.
func TestEntryForAnUnnamedServiceIsRefusedEverywhere(t *testing.T) {
	c := newCluster(t, 3)
	ctx := t.Context()
	eventually(func() bool {
		return c.hosts[0].node.Submit(ctx, desired.Command{Document: &desired.Document{Version: 1, Body: []byte("1"), Services: []string{"s"}}}) == nil
	})
	check := func(when string) {
		t.Helper()
		for i, h := range c.hosts {
			eventually(func() bool { _, known := h.node.TargetAt("t", "127.0.0.1:1"); return known })
			odd := announcement("odd", 9, 1)
			odd.Leaving = true
			eventually(func() bool { return h.node.targets.Contradicts(&odd) }) // once it knows the policy
			if err := h.node.Announce(ctx, odd); !errors.Is(err, ErrContradiction) {
				t.Errorf("%s: host %d took the entry: %v", when, i, err)
			}
			h.node.handleExchange(ctx, "", fleet.Exchange{Targets: []roster.Report{{Announcement: odd}}})
			if got, _ := h.node.TargetAt("t", "127.0.0.1:1"); !got.Usable() || got.Life != 5 {
				t.Errorf("%s: host %d holds %+v", when, i, got)
			}
			if state, _ := h.node.machine.State(); len(state.Orders.Departures) > 0 {
				t.Errorf("%s: host %d has committed %+v", when, i, state.Orders.Departures)
			}
		}
	}
	announce(c.hosts[0], announcement("s", 5, 1))
	check("after the announcement")
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		h.start(t, c.seeds, false)
	}
	announce(c.hosts[1], announcement("s", 5, 2))
	check("after a restart")
}

// Guards against a policy of an earlier version of the program, which does not say which
// services it names, that takes all targets out of use.
func TestPolicyWithoutServicesNamesAll(t *testing.T) {
	c := newCluster(t, 1)
	c.put(0, 1)
	announce(c.hosts[0], announcement("s", 5, 1))
	if got, known := c.hosts[0].node.TargetAt("t", "127.0.0.1:1"); !known || !got.Usable() {
		t.Errorf("the host holds %+v, known %v", got, known)
	}
}
