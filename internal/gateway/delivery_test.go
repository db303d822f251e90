package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/admission"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Guards against wrong answers to callers when a target misbehaves. Each case
// scripts the first home of the object; the second home answers correctly.
func TestFaultyFirstTarget(t *testing.T) {
	runs := func(status int, body string) nettest.Script {
		return func(_ *nettest.Target, conn net.Conn, r *http.Request) {
			answer(conn, status, r.Header.Get("Id"), body)
		}
	}
	cases := []struct {
		name   string
		kind   policy.Kind
		script nettest.Script
		status int
		second int // requests that the second home may have read
	}{
		{"an unsafe request that a target refused goes to the next target", policy.Unsafe, func(_ *nettest.Target, c net.Conn, r *http.Request) {
			answer(c, 503, r.Header.Get("Id"), "", "Not-Run: 1")
		}, 200, 1},
		{"an unsafe request that another instance at the address refused goes to the next target", policy.Unsafe, func(_ *nettest.Target, c net.Conn, r *http.Request) {
			answer(c, 421, r.Header.Get("Id"), "")
		}, 200, 1},
		{"a closed connection leaves the outcome of an unsafe request unknown", policy.Unsafe, func(_ *nettest.Target, c net.Conn, _ *http.Request) { _ = c.Close() }, 502, 0},
		{"a safe request is retried after a closed connection", policy.Safe, func(_ *nettest.Target, c net.Conn, _ *http.Request) { _ = c.Close() }, 200, 1},
		{"an answer to another request is not passed on", policy.Unsafe, func(_ *nettest.Target, c net.Conn, _ *http.Request) {
			answer(c, 200, "other", "wrong")
			_ = c.Close()
		}, 502, 0},
		{"a malformed response is not passed on", policy.Safe, func(_ *nettest.Target, c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "garbage garbage\r\n\r\n")
			_ = c.Close()
		}, 200, 1},
		{"a truncated answer is replaced", policy.Safe, func(_ *nettest.Target, c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("Id"))
			_ = c.Close()
		}, 200, 1},
		{"a truncated answer to an unsafe request is a failure", policy.Unsafe, func(_ *nettest.Target, c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("Id"))
			_ = c.Close()
		}, 502, 0},
		{"a success without a signature is not passed on", policy.Unsafe, func(_ *nettest.Target, c net.Conn, r *http.Request) {
			answer(c, 200, r.Header.Get("Id"), "wrong", "Unsigned: 1")
		}, 502, 0},
		{"a failed safe request is retried", policy.Safe, runs(500, "failed"), 200, 1},
		{"the failure of an unsafe request is passed on", policy.Unsafe, runs(500, "failed"), 500, 0},
		{"a plain 503 to an unsafe request is no refusal, since it may have run", policy.Unsafe, runs(503, "busy"), 502, 0},
		{"a request to a silent target ends at the route's timeout", policy.Unsafe, func(_ *nettest.Target, _ net.Conn, _ *http.Request) {
			time.Sleep(3 * time.Second)
		}, 504, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, ok, ok)
			order := f.order(c.kind)
			f.targets[order[0]].Script = c.script
			method, body := "GET", ""
			if c.kind == policy.Unsafe {
				method, body = "POST", "x"
			}
			r, text := f.do(method, "/"+c.kind.String()+"/1", "i1", body)
			if r.StatusCode != c.status {
				t.Errorf("status %d (%s), want %d", r.StatusCode, text, c.status)
			}
			if strings.HasPrefix(text, "cut") || strings.Contains(text, "wrong") || strings.Contains(text, "short") {
				t.Errorf("body %q reached the caller", text)
			}
			if n := len(ids(f.targets[order[0]])); n != 1 {
				t.Errorf("the first target read %d requests, want 1", n)
			}
			if n := len(ids(f.targets[order[1]])); n != c.second {
				t.Errorf("the second target read %d requests, want %d", n, c.second)
			}
			if r.Header.Get("Id") != "i1" {
				t.Errorf("the answer names request %q", r.Header.Get("Id"))
			}
		})
	}
}

// Guards against passing on a second answer to one request as the answer to the
// next.
func TestExtraAnswerIsNotTheNext(t *testing.T) {
	f := newFixture(t, func(target *nettest.Target, c net.Conn, r *http.Request) {
		ok(target, c, r)
		if r.Header.Get("Id") == "i1" {
			answer(c, 200, "i1", "extra")
		}
	})
	conn, br := f.dial()
	for i := 1; i <= 4; i++ {
		id := fmt.Sprint("i", i)
		fmt.Fprint(conn, request("POST", "/unsafe/1", id, id))
		r, body := f.read(br)
		if r.StatusCode != 200 || r.Header.Get("Id") != id || body != "t0:"+id {
			t.Fatalf("answer to %s: %d %s %q", id, r.StatusCode, r.Header.Get("Id"), body)
		}
	}
	if n := len(ids(f.targets[0])); n != 4 {
		t.Errorf("the target read %d requests, want 4", n)
	}
}

// Guards against retrying an unsafe request after its idle connection was closed.
func TestUnsafeOnDeadConnectionRunsOnce(t *testing.T) {
	closing := func(target *nettest.Target, c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "i2" {
			_ = c.Close() // the request was read and may have run
			return
		}
		ok(target, c, r)
	}
	f := newFixture(t, closing, closing)
	f.do("POST", "/unsafe/1", "i1", "x")
	r, _ := f.do("POST", "/unsafe/1", "i2", "x")
	if r.StatusCode != 502 {
		t.Errorf("status %d, want 502", r.StatusCode)
	}
	n := 0
	for _, target := range f.targets {
		for _, id := range ids(target) {
			if id == "i2" {
				n++
			}
		}
	}
	if n != 1 {
		t.Errorf("the request was read %d times, want 1", n)
	}
}

// Guards against refusing a request that may have run, since a refusal means that it
// has not.
func TestRefusalOnlyIfNotRun(t *testing.T) {
	shed := func(_ *nettest.Target, c net.Conn, r *http.Request) {
		answer(c, 503, r.Header.Get("Id"), "", "Not-Run: 1")
	}
	f := newFixture(t, shed, shed)
	r, _ := f.do("POST", "/unsafe/1", "i1", "x")
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("all targets refused: status %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
	f = newFixture(t, ok, shed)
	order := f.order(policy.Safe)
	f.targets[order[0]].Script = func(_ *nettest.Target, c net.Conn, _ *http.Request) { _ = c.Close() }
	f.targets[order[1]].Script = shed
	r, _ = f.do("GET", "/safe/1", "i2", "")
	if r.StatusCode != 502 {
		t.Errorf("one attempt may have run: status %d, want 502", r.StatusCode)
	}
}

// Guards against a request that continues after its caller has left.
func TestCallerLeaving(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, func(_ *nettest.Target, c net.Conn, _ *http.Request) {
		buffer := make([]byte, 1)
		_, _ = c.Read(buffer) // returns when the gateway closes the connection
		close(ended)
	})
	conn, _ := f.dial()
	fmt.Fprint(conn, request("GET", "/safe/1", "i1", ""))
	for len(ids(f.targets[0])) == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the target's connection stays open")
	}
}

// Guards against sending a target a longer timeout than the caller's remaining time.
func TestTimeLeftShrinks(t *testing.T) {
	lefts := make(chan string, 2)
	var seen atomic.Int32
	script := func(target *nettest.Target, c net.Conn, r *http.Request) {
		lefts <- r.Header.Get("Left")
		if seen.Add(1) == 1 {
			time.Sleep(200 * time.Millisecond)
			_ = c.Close()
			return
		}
		ok(target, c, r)
	}
	f := newFixture(t, script, script)
	f.do("GET", "/safe/1", "i1", "")
	var a, b int
	fmt.Sscan(<-lefts, &a)
	fmt.Sscan(<-lefts, &b)
	if a > 1000 || b > a-200 {
		t.Errorf("time left %d ms, then %d ms; want at most 1000 ms, then at least 200 ms less", a, b)
	}
}

// Guards against concurrent downloads that fill the queue of a slow link.
func TestDownloadsAreBoundedByTheLink(t *testing.T) {
	if n := cap(newDownloads(1.4e6 / 8).slots); n != 2 {
		t.Errorf("%d downloads at once on 1.4 Mbit/s, want 2", n)
	}
	if n := cap(newDownloads(700e6 / 8).slots); n != maxDownloads {
		t.Errorf("%d downloads at once on 700 Mbit/s, want %d", n, maxDownloads)
	}
	release := make(chan struct{})
	f := newFixture(t, func(target *nettest.Target, c net.Conn, r *http.Request) {
		<-release
		ok(target, c, r)
	})
	f.gateway.downloadLimit = newDownloads(1)
	conn, br := f.dial()
	fmt.Fprint(conn, request("GET", "/download/1", "i1", ""))
	for len(ids(f.targets[0])) == 0 {
		time.Sleep(time.Millisecond)
	}
	if r, _ := f.do("GET", "/download/2", "i2", ""); r.StatusCode != 503 {
		t.Errorf("a second download was answered %d, want 503", r.StatusCode)
	}
	close(release)
	if r, _ := f.read(br); r.StatusCode != 200 {
		t.Errorf("the first download was answered %d, want 200", r.StatusCode)
	}
	if r, _ := f.do("GET", "/download/3", "i3", ""); r.StatusCode != 200 {
		t.Errorf("a download after the first was answered %d, want 200", r.StatusCode)
	}
}

// Guards against reporting slow requests as failures during the warm-up of a target,
// and against not reporting them afterwards.
func TestSlowWorkIsReported(t *testing.T) {
	for _, c := range []struct {
		cold time.Duration
		bad  uint16
	}{{0, 1}, {time.Minute, 0}} {
		f := newFixture(t, func(target *nettest.Target, conn net.Conn, r *http.Request) {
			time.Sleep(30 * time.Millisecond)
			ok(target, conn, r)
		})
		for i := range f.gateway.view.current().Routes {
			f.gateway.view.current().Routes[i].Objective = 10 * time.Millisecond
		}
		target, _ := f.gateway.view.targets.Find("t0")
		target.Sequence, target.ColdFor = 2, c.cold
		f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: target.Announcement})
		f.gateway.view.setPlace(f.gateway.now(), 0, 1)
		f.gateway.reports.take("control")
		if r, _ := f.do("GET", "/safe/1", "i1", ""); r.StatusCode != 200 {
			t.Fatalf("status %d", r.StatusCode)
		}
		list := f.gateway.reports.take("control")
		if len(list) != 1 || list[0].Bad != c.bad || list[0].Good != 1-c.bad {
			t.Errorf("cold for %s: reports %+v, want %d bad", c.cold, list, c.bad)
		}
	}
}

// Guards against answering that the outcome is unknown when the deadline passed
// before the request was sent.
func TestTimeOverBeforeSending(t *testing.T) {
	f := newFixture(t, ok)
	g := f.gateway
	p := g.view.current()
	x := &exchange{policy: p, route: &p.Routes[1], body: &requestBody{}, ctx: context.Background()}
	d := &delivery{gateway: g, service: "s", tried: map[string]bool{}, exchange: x, deadline: g.now() - 1}
	target, _ := g.view.targets.Find("t0")
	last := d.attempt(&target, g.evidenceStore.For(evidence.Key{Name: "t0", Life: 1}))
	if last.outcome != unreached || len(ids(f.targets[0])) != 0 {
		t.Errorf("outcome %s, want unreached and no request at the target", last.outcome)
	}
	if r := d.giveUp(last); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", r.status)
	}
}

// Guards against counting a target as unreachable because the request's deadline
// shortened the dial.
func TestShortDialIsNoEvidence(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		limit time.Duration
		err   error
		want  bool
	}{
		{20 * time.Millisecond, timeout, false}, {hop.DialTimeout, timeout, true},
		{20 * time.Millisecond, refused, true}, {hop.DialTimeout, refused, true},
	} {
		if got := countsAgainstTarget(c.limit, c.err); got != c.want {
			t.Errorf("limit %s, error %v: counts against the target: %v", c.limit, c.err, got)
		}
	}
}

// Guards against queueing requests at an overloaded target, which cannot finish them
// in time, and against refusing urgent requests before less urgent ones.
func TestBusyTargetRefusesLessUrgentWork(t *testing.T) {
	f := newFixture(t, ok)
	p := f.gateway.view.current()
	for i := range p.Routes {
		p.Routes[i].Priority = 2
		if p.Routes[i].Kind == policy.Unsafe {
			p.Routes[i].Priority = 1
		}
	}
	p.Index()
	for range 100 {
		f.gateway.gate.Step(time.Second, map[string]admission.Load{"t0": {PerSlot: 10, TimedOut: 0.5}})
	}
	refused := map[string]int{}
	for i := range 50 {
		for _, kind := range []string{"safe", "unsafe"} {
			r, _ := f.do("GET", "/"+kind+"/x", fmt.Sprint(kind, i), "")
			if r.StatusCode == 503 && r.Header.Get("Retry-After") != "" {
				refused[kind]++
			}
		}
	}
	if refused["safe"] < 15 || refused["unsafe"] != 0 {
		t.Errorf("refused of 50 each: %v", refused)
	}
	if n := len(ids(f.targets[0])); n != 100-refused["safe"] {
		t.Errorf("the target read %d requests, %d were refused", n, refused["safe"])
	}
}

// Guards against refusing requests because of one busy target while the object's
// second home has capacity.
func TestBusyTargetHandsWorkToItsSecondHome(t *testing.T) {
	f := newFixture(t, ok, ok)
	busy := f.order(policy.Safe)[0]
	for range 100 {
		f.gateway.gate.Step(time.Second, map[string]admission.Load{fmt.Sprint("t", busy): {PerSlot: 10, TimedOut: 0.5}})
	}
	for i := range 50 {
		if r, _ := f.do("GET", "/safe/x", fmt.Sprint(i), ""); r.StatusCode != 200 {
			t.Errorf("request %d was answered %d, want 200", i, r.StatusCode)
		}
	}
	if first, second := len(ids(f.targets[busy])), len(ids(f.targets[1-busy])); second == 0 || first == 0 {
		t.Errorf("the busy target read %d requests, the other home %d", first, second)
	}
}

// Guards against the end of a request closing its connection after this was returned
// to the pool, which loses the request that uses it next.
func TestEndOfARequestLeavesKeptConnectionsOpen(t *testing.T) {
	f := newFixture(t, ok)
	conn, br := f.dial()
	for i := range 300 {
		fmt.Fprint(conn, request("POST", "/unsafe/x", fmt.Sprint(i), ""))
		if r, body := f.read(br); r.StatusCode != 200 {
			t.Fatalf("status %d with body %q to request %d", r.StatusCode, body, i)
		}
	}
	if n := f.targets[0].Accepted(); n > 1 {
		t.Errorf("%d connections to the target for sequential requests, want 1", n)
	}
}

// Guards against losing requests on idle connections to a target whose host has lost
// power: once the target has restarted, its host resets them.
func TestTargetConnectionsEndWithTheirTarget(t *testing.T) {
	f := newFixture(t, ok)
	target := f.targets[0]
	line := nettest.NewPowerLossProxy(t, target.Address())
	start := func(life roster.Life) {
		f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
			Name: target.Name, Life: life, Sequence: 1, Service: "s", Address: line.Address(), Zone: "z1", Slots: 4}})
	}
	start(2)
	if r, _ := f.do("POST", "/unsafe/x", "1", ""); r.StatusCode != 200 {
		t.Fatalf("status %d before the loss of power", r.StatusCode)
	}
	f.awaitKept(1)
	line.PowerCycle()
	start(3)
	if r, body := f.do("POST", "/unsafe/x", "2", ""); r.StatusCode != 200 {
		t.Errorf("status %d with body %q after the target's new start", r.StatusCode, body)
	}
}
