package gateway

import (
	"fmt"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Guards against an entry host that sends nothing to a target any more, because a control
// host has told it of an entry of another writer for the target's address or name.
func TestOddEntriesTakeNoTargetAway(t *testing.T) {
	for _, name := range []string{"odd", "t0"} {
		t.Run("entry of "+name, func(t *testing.T) {
			f := newFixture(t, ok)
			f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
				Name: name, Life: 9, Sequence: 9, Service: "no-such-service", Address: f.targets[0].Address(), Zone: "z1", Slots: 4}})
			for i := range 5 {
				if r, body := f.do("POST", "/unsafe/x", fmt.Sprint(i), ""); r.StatusCode != 200 {
					t.Errorf("request %d got %d %q", i, r.StatusCode, body)
				}
			}
			for _, target := range f.gateway.view.namedTargets() {
				if target.Service != "s" {
					t.Errorf("whether this host is cut off is decided by %+v, too", target)
				}
			}
		})
	}
}
