package zone

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

func bundleOf(hosts ...string) *bundle.Bundle {
	b := &bundle.Bundle{Zones: testZones}
	for _, h := range hosts {
		b.Hosts = append(b.Hosts, bundle.Host{Name: h, AvailabilityZone: "a", Role: bundle.RoleEntry, Peer: h + ":1"})
	}
	return b
}

// Guards against permits that a recovery misses: those of a host that a newer
// bundle removed, and those of a host that the coordinator's older bundle does not
// list yet.
func TestHoldersAcrossBundles(t *testing.T) {
	now := time.Unix(1000, 0)
	hold := slots.StreamSilence + zonelease.LeaseDuration
	l := newLayout(now, bundleOf("a0", "a1"), nil)
	l = newLayout(now, bundleOf("a0"), l)
	l = newLayout(now, bundleOf("a0", "a2"), l)
	if got := l.holders(now.Add(hold - 1)); !slices.Contains(got, "a1") || l.peer["a1"] != "a1:1" {
		t.Fatalf("holders before the hold limit are %v, want the removed host a1 among them", got)
	}
	if got := l.holders(now.Add(hold)); slices.Contains(got, "a1") {
		t.Fatalf("holders after the hold limit are %v, want them without the removed host a1", got)
	}
	if slices.Contains(l.hosts["a"], "a1") {
		t.Fatal("the removed host a1 is still a voter of its zone")
	}
	c := newCluster(t, 1, "a")
	c.coordinator("a")
	c.announce(c.hosts["a0"], "10.1.0.1:80", 1)
	r, err := c.hosts["a0"].handleAcquire(context.Background(), "stranger", acquireRequest{Service: "limits", RemainingMs: 1000})
	if err != nil || r.Status != statusBusy {
		t.Fatalf("a host outside the bundle got %+v, %v, want status busy", r, err)
	}
}
