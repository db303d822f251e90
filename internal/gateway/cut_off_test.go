package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// entryIP is the source address of the entry host's connections to targets in these tests.
// Relays use another one.
const entryIP = "127.99.7.7"

// newCutFixture returns a gateway with six targets in two availability zones, which it
// reaches from entryIP.
func newCutFixture(t *testing.T, script nettest.Script) *fixture {
	f := newFixture(t, script, script, script, script, script, script)
	f.gateway.pool.Bind(net.ParseIP(entryIP))
	for i, target := range f.targets {
		target.AllowCuts()
		f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
			Name: target.Name, Life: 1, Sequence: 2, Service: "s", Address: target.Address(), Zone: fmt.Sprint("z", 1+i%2), Slots: 4}})
	}
	return f
}

// cut cuts the entry host off from all targets.
func (f *fixture) cut(m nettest.CutMode) {
	for _, target := range f.targets {
		target.Cut(entryIP, m)
	}
}

var modes = map[string]nettest.CutMode{"reset": nettest.Reset, "hang": nettest.Hang, "refuse new": nettest.RefuseNew}

// Guards against an entry host that is cut off from all targets and serves its callers worse
// than others, whatever they send.
func TestEntryHostCutOffServesByItsRelay(t *testing.T) {
	for name, mode := range modes {
		f := newCutFixture(t, ok)
		f.relayAt(startRelay(t, true))
		conn, br := f.dial() // a kept connection of a caller
		serve := func(when string) {
			for i, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
				for j, body := range []string{"", strings.Repeat("b", 1<<10), strings.Repeat("b", 100<<10), strings.Repeat("b", 900<<10)} {
					go func() { fmt.Fprint(conn, request("POST", "/"+kind.String()+"/x", fmt.Sprint(when, i, j), body)) }()
					r, got := f.read(br)
					if _, whole, _ := strings.Cut(got, ":"); r.StatusCode != http.StatusOK || whole != body {
						t.Errorf("%s, %s: %s with %d bytes got %d and %d bytes", name, when, kind, len(body), r.StatusCode, len(whole))
					}
				}
			}
		}
		serve("before the cut")
		f.cut(mode)
		serve("during the cut")
		f.cut(nettest.Connected)
		serve("after the cut")
	}
}

// refusals sends requests until n in a row were refused at once, and returns the last one.
func (f *fixture) refusals(n int) *http.Response {
	for row, i := 0, 0; ; i++ {
		conn, br := f.dial()
		fmt.Fprint(conn, request("GET", "/safe/x", fmt.Sprint("r", i), ""))
		r, _ := f.read(br)
		_ = conn.Close()
		if r.StatusCode != http.StatusServiceUnavailable || !r.Close {
			row = 0
			continue
		}
		if row++; row == n {
			return r
		}
	}
}

// Guards against an entry host that reaches no target and no relay, and holds requests until
// their time ends, stays in the directory, or never serves again.
func TestEntryHostWithoutAnyWayRefusesAtOnce(t *testing.T) {
	for name, mode := range map[string]nettest.CutMode{"reset": nettest.Reset, "refuse new": nettest.RefuseNew} {
		f := newCutFixture(t, ok)
		f.gateway.watch.mu.Lock()
		f.gateway.watch.lastFresh = f.gateway.now()
		f.gateway.watch.mu.Unlock()
		if !f.gateway.Ready() {
			t.Fatalf("%s: not ready before the cut", name)
		}
		f.cut(mode)
		r := f.refusals(10)
		if r.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a refusal does not say when to come back", name)
		}
		if f.gateway.Ready() {
			t.Errorf("%s: the host is ready although it reaches no target", name)
		}
		reached := 0
		for _, target := range f.targets {
			reached += len(target.Requests())
		}
		if f.refusals(10); reached != 0 {
			t.Errorf("%s: %d requests reached targets, want none", name, reached)
		}
		f.cut(nettest.Connected)
		for !f.gateway.Ready() {
			f.gateway.probeTargets()
			time.Sleep(10 * time.Millisecond) // bounded by the test timeout
		}
		for i := 0; ; i++ {
			if r, _ := f.do("GET", "/safe/x", fmt.Sprint("a", i), ""); r.StatusCode == http.StatusOK {
				break
			}
		}
	}
}

// Guards against reports of an entry host that is cut off from all targets, which would bring
// sound targets down at the other entry hosts.
func TestReportsOfAHostThatIsCutOffBlameNoTarget(t *testing.T) {
	for _, name := range []string{"reset", "refuse new"} { // on loopback a target that hangs still acknowledges what it is sent
		mode := modes[name]
		f := newCutFixture(t, ok)
		f.gateway.reports.take("c") // reports are collected from now on
		for i := range 20 {         // kept connections, so that some are lost with requests on them
			if r, _ := f.do("GET", "/safe/x", fmt.Sprint("k", i), ""); r.StatusCode != http.StatusOK {
				t.Fatalf("%s: got %d before the cut", name, r.StatusCode)
			}
		}
		f.cut(mode)
		for i := 0; !f.gateway.reach.isCut() && i < 50; i++ {
			conn, br := f.dial()
			fmt.Fprint(conn, strings.Replace(request("GET", "/safe/x", fmt.Sprint("c", i), ""), "Object: a", fmt.Sprint("Object: ", i), 1))
			_, _, _ = readAnswer(br)
			_ = conn.Close()
		}
		for _, report := range f.gateway.reports.take("c") {
			if report.Bad > 0 {
				t.Errorf("%s: target %s is reported with %d failures and %d successes", name, report.Target, report.Bad, report.Good)
			}
		}
	}
}

// Guards against failures of one target that are no longer reported. The target loses the
// connection while it has the request, which the gateway learns in no other order.
func TestLostConnectionsOfOneTargetAreReported(t *testing.T) {
	f := newCutFixture(t, ok)
	f.gateway.reports.take("c")
	home := f.targets[f.order(policy.Safe)[0]]
	home.Script = func(target *nettest.Target, conn net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "2" {
			target.Cut(entryIP, nettest.Reset)
			return
		}
		ok(target, conn, r)
	}
	if r, _ := f.do("GET", "/safe/x", "1", ""); r.StatusCode != http.StatusOK {
		t.Fatalf("got %d", r.StatusCode)
	}
	f.awaitKept(1)
	if r, _ := f.do("GET", "/safe/x", "2", ""); r.StatusCode != http.StatusOK { // served by another target
		t.Fatalf("got %d", r.StatusCode)
	}
	if n := len(ids(home)); n != 2 {
		t.Fatalf("the target has read %d requests, want 2", n)
	}
	bad := 0
	for _, report := range f.gateway.reports.take("c") {
		if report.Target == home.Name {
			bad += int(report.Bad)
		}
	}
	if bad != 1 {
		t.Errorf("%d losses of the connection to the target are reported, want 1", bad)
	}
	if f.gateway.reach.isCut() {
		t.Error("the host counts as cut off after the loss of one target")
	}
}

// Guards against a target that is blamed for an idle connection which had ended before a
// request was sent on it.
func TestIdleConnectionsThatEndedAreNotReported(t *testing.T) {
	f := newCutFixture(t, ok)
	f.gateway.reports.take("c")
	p := f.gateway.view.current()
	d := &delivery{gateway: f.gateway, via: viaDirect, exchange: &exchange{policy: p, route: p.Match("h", "/safe/x")}}
	target, _ := f.gateway.view.targets.Find("t0")
	for _, x := range []struct {
		outcome outcome
		bad     int
	}{{unreached, 0}, {broken, 1}} {
		d.recordResult(&target, attempt{outcome: x.outcome, err: hop.ErrConnectionEnded}, f.gateway.now())
		f.gateway.targetReached()
		bad := 0
		for _, report := range f.gateway.reports.take("c") {
			bad += int(report.Bad)
		}
		if bad != x.bad {
			t.Errorf("outcome %v: %d failures are reported, want %d", x.outcome, bad, x.bad)
		}
	}
}

// Guards against a map that is read while another request writes to it, which ends the
// process: requests lose connections to targets while others reach targets.
func TestLossesWhileTargetsAreReached(t *testing.T) {
	const requests, losses = 8, 500
	f := newFixture(t, ok)
	f.gateway.reports.take("c")
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			for range losses {
				f.gateway.reportLost("t0")
			}
		})
		wg.Go(func() {
			for range losses {
				f.gateway.targetReached()
			}
		})
	}
	wg.Wait()
	f.gateway.targetReached()
	reports := f.gateway.reports.take("c")
	if len(reports) != 1 || int(reports[0].Bad) != requests*losses {
		t.Errorf("reported %+v, want %d losses of one target", reports, requests*losses)
	}
}
