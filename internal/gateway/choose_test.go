package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Guards against a region that sends all its callers to another region at once
// because all its targets are reported as failing. This happened when they were busy
// with cold work at the start of a day (riagain-ceili, mix --seed 2444679073).
func TestVerdictsMoveObjectsWithinTheirRegion(t *testing.T) {
	for _, c := range []struct {
		name    string
		zones   [4]string // availability zone of each target
		failing []int
		want    func(target int) bool
	}{
		{"one home failing", [4]string{"z1", "z1", "z2", "z2"}, []int{0}, func(n int) bool { return n == 1 }},
		{"both homes failing", [4]string{"z1", "z1", "z2", "z2"}, []int{0, 1}, func(n int) bool { return n < 2 }},
		{"the only target of the region failing", [4]string{"z1", "z2", "z2", "z2"}, []int{0}, func(n int) bool { return n == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, ok, ok, ok, ok)
			g := f.gateway
			for i, zone := range c.zones {
				target, _ := g.view.targets.Find(fmt.Sprint("t", i))
				target.Sequence, target.Zone = 2, zone
				g.view.targets.Apply(g.now(), roster.Report{Announcement: target.Announcement})
			}
			states := []fleet.TargetState{}
			for _, n := range c.failing {
				states = append(states, fleet.TargetState{Target: fmt.Sprint("t", n), Failing: true})
			}
			p := g.view.current()
			place := func(i int) string {
				d := &delivery{gateway: g, service: "s", tried: map[string]bool{}, exchange: &exchange{policy: p, route: &p.Routes[0]}}
				d.exchange.call.ID = fmt.Sprint("i", i)
				if g.isProbe(d.exchange.call.ID) {
					return "" // a probe may go to a failing target
				}
				target, _, _ := g.choose(d)
				return target.Name
			}
			const objects = 200
			before := [objects]string{}
			for i := range before {
				before[i] = place(i)
			}
			g.reports.apply(states)
			for i, first := range before {
				if first != "t0" && first != "t1" {
					continue // served by the other region in any case
				}
				var n int
				if now := place(i); now != "" {
					if _, err := fmt.Sscanf(now, "t%d", &n); err != nil || (!c.want(n) && first != now) {
						t.Fatalf("object %d moved from %s to %q", i, first, now)
					}
				}
				if len(c.failing) == 1 && c.zones[1] == "z1" && n == 0 {
					t.Fatalf("object %d stays at the failing target", i)
				}
			}
		})
	}
}

// Guards against counting requests that time out at a target as its failures: only
// a comparison with other targets distinguishes a slow target from a busy service.
func TestEndOfTimeIsNoEvidenceOfOneHost(t *testing.T) {
	for name, script := range map[string]nettest.Script{
		"the target says so": func(_ *nettest.Target, conn net.Conn, r *http.Request) {
			answer(conn, http.StatusGatewayTimeout, r.Header.Get("Id"), "")
		},
		"in the middle of an answer": func(_ *nettest.Target, conn net.Conn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("Id"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, script)
			g := f.gateway
			p := g.view.current()
			for i := range p.Routes {
				p.Routes[i].Timeout = 100 * time.Millisecond
			}
			for i := range 5 {
				for _, kind := range []string{"safe", "unsafe"} {
					if r, _ := f.do("GET", "/"+kind+"/x", fmt.Sprint(kind, i), ""); r.StatusCode != http.StatusGatewayTimeout {
						t.Fatalf("status %d, want 504", r.StatusCode)
					}
				}
			}
			if v := g.evidenceStore.For(evidence.Key{Name: "t0", Life: 1}).Verdict(g.now()); v != evidence.Good {
				t.Errorf("verdict %s, want good", v)
			}
		})
	}
}
