package gateway

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// says returns a script that answers each request with a status and a header.
func says(status int, header string) nettest.Script {
	return func(target *nettest.Target, conn net.Conn, r *http.Request) {
		answer(conn, status, r.Header.Get("Id"), target.Name, header)
	}
}

// A target that says in an answer that it is about to exit must get no later request,
// directly or through a relay, until its next incarnation.
func TestTargetLeavesByItsAnswer(t *testing.T) {
	for _, via := range []string{"direct", "relay"} {
		t.Run(via, func(t *testing.T) {
			script := func(target *nettest.Target, conn net.Conn, r *http.Request) {
				if r.Header.Get("Id") == "1" { // read by the object's first target
					says(200, "Leaving: 1")(target, conn, r)
					return
				}
				ok(target, conn, r)
			}
			f := newFixture(t, script, script)
			if via == "relay" {
				f.relayAt(startRelay(t, true))
			}
			order := f.order(policy.Safe)
			first, second := f.targets[order[0]], f.targets[order[1]]
			if r, body := f.do("GET", "/safe/x", "1", ""); r.StatusCode != 200 || body != first.Name {
				t.Fatalf("the first request got %d %q", r.StatusCode, body)
			}
			for i := range 3 {
				if r, body := f.do("GET", "/safe/x", strconv.Itoa(i+2), ""); r.StatusCode != 200 || body != second.Name+":" {
					t.Errorf("request %d got %d %q, want 200 of %s", i+2, r.StatusCode, body, second.Name)
				}
			}
			f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
				Name: first.Name, Life: 2, Sequence: 1, Service: "s", Address: first.Address(), Zone: "z1", Slots: 4}})
			if n := len(f.order(policy.Safe)); n != 2 {
				t.Errorf("%d targets are in use after the next incarnation announced itself, want 2", n)
			}
		})
	}
}

// A target that asks for a pause must get no request during it, also not as a second
// attempt, and the refusal of the last one must tell how long to wait.
func TestTargetsAskForAPause(t *testing.T) {
	for _, via := range []string{"direct", "relay"} {
		t.Run(via, func(t *testing.T) {
			f := newFixture(t, says(503, "Not-Run: 1\r\nPause: 7000"), says(503, "Not-Run: 1\r\nPause: 9000"))
			if via == "relay" {
				f.relayAt(startRelay(t, true))
			}
			if r, _ := f.do("POST", "/unsafe/x", "1", ""); r.StatusCode != 503 {
				t.Fatalf("the first request got %d", r.StatusCode)
			}
			for i := range 3 {
				r, _ := f.do("POST", "/unsafe/x", strconv.Itoa(i+2), "")
				pause, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
				if r.StatusCode != 503 || pause < 5 || pause > 7 {
					t.Errorf("request %d got %d with a pause of %v s, want 503 and the rest of 7 s", i+2, r.StatusCode, pause)
				}
			}
			for _, target := range f.targets {
				if got := ids(target); !slices.Equal(got, []string{"1"}) {
					t.Errorf("%s read the requests %v, want only the first", target.Name, got)
				}
			}
		})
	}
}

// Control hosts must learn of a departure from a host that was told by the target
// itself, and the host must not repeat it forever.
func TestDeparturesAreReported(t *testing.T) {
	reported := make(chan desired.Departure, 100)
	control := newFakeControl(t, func(req fleet.PullRequest) fleet.PullReply {
		reply := fleet.PullReply{Fresh: true, Index: req.Orders}
		for _, d := range req.Leaving {
			select {
			case reported <- d:
			default:
			}
			reply.Index, reply.Orders = 5, &desired.Orders{Departures: []desired.Departure{{Name: d.Name, Life: d.Life, Index: 5}}}
		}
		return reply
	})
	g := newWatchingGateway(t, control.address)
	go g.watch.run(t.Context())
	g.view.targets.Apply(g.now(), roster.Report{Announcement: roster.Announcement{Name: "t", Life: 3, Sequence: 1, Address: "127.0.0.1:1"}})
	g.targetLeaves("t", 3, viaDirect)
	if d := <-reported; d.Name != "t" || d.Life != 3 {
		t.Errorf("reported departure %+v", d)
	}
	for len(g.departures.list()) > 0 {
		if t.Context().Err() != nil {
			t.Fatal("the departure is still reported after the orders contained it")
		}
	}
}

// A relay that answers for an earlier incarnation of a target must not end the use of the
// one that is in use (review case 3).
func TestRelayAnswersForAnEarlierIncarnation(t *testing.T) {
	for _, outcome := range []relay.Outcome{relay.Leaving, relay.Paused} {
		t.Run(string(outcome), func(t *testing.T) {
			f := newFixture(t, ok, ok)
			for _, target := range f.targets {
				f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
					Name: target.Name, Life: 2, Sequence: 1, Service: "s", Address: target.Address(), Zone: "z1", Slots: 4}})
			}
			f.relayAt(brokenRelay(t, func(c net.Conn) {
				answer(c, 502, "1", "", relay.HeaderOutcome+": "+string(outcome), relay.HeaderPause+": 60000", relay.HeaderLife+": 1")
			}))
			f.do("GET", "/safe/x", "1", "")
			if n := len(f.order(policy.Safe)); n != 2 {
				t.Errorf("%d targets are in use, want 2", n)
			}
			if list := f.gateway.departures.list(); len(list) > 0 {
				t.Errorf("the departures %+v are reported, want none", list)
			}
			for _, target := range f.targets {
				if left := f.gateway.pauses.Left(f.gateway.now(), evidence.Key{Name: target.Name, Life: 2}); left > 0 {
					t.Errorf("%s gets no requests for %s, want no pause", target.Name, left)
				}
			}
		})
	}
}
