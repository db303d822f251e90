package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// relayAt gives the gateway a control host of its availability zone whose relay is
// at an address.
func (f *fixture) relayAt(address string) {
	w := f.gateway.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.controls["c"] = &controlState{control: fleet.Control{Peer: "c", Zone: "z1", Relay: address}, lastAnswer: w.now()}
}

// startRelay starts a real relay and returns its address; known is whether it knows
// the targets.
func startRelay(t *testing.T, known bool) string {
	t.Helper()
	s := relay.New(relay.Config{Codec: fakeCodec{}, MaxIdleConnections: 100, Find: func(name, _ string) (roster.Target, bool) {
		return roster.Target{Announcement: roster.Announcement{Name: name, Life: 1}}, known
	}, ReportLeaving: func(string, roster.Life) {},
		Metrics: metrics.NewRegistry(), Log: log.New(io.Discard)})
	return listen(t, func(ctx context.Context, l net.Listener) { s.Serve(ctx, l) })
}

func listen(t *testing.T, serve func(context.Context, net.Listener)) string {
	t.Helper()
	l := nettest.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = l.Close() })
	go serve(ctx, l)
	return l.Addr().String()
}

// brokenRelay starts a fake relay that reads one request from each connection and
// then calls act. It returns its address.
func brokenRelay(t *testing.T, act func(net.Conn)) string {
	return listen(t, func(_ context.Context, l net.Listener) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					act(conn)
				}
			}()
		}
	})
}

// Guards against requests that are lost, repeated or answered wrongly because a
// relay fails. There is only one target, so a retry must go to it.
func TestRelayFailures(t *testing.T) {
	closed := func(c net.Conn) { _ = c.Close() }
	said := func(o relay.Outcome) func(net.Conn) {
		return func(c net.Conn) { answer(c, 502, "1", "", relay.HeaderOutcome+": "+string(o)) }
	}
	cases := []struct {
		name   string
		kind   policy.Kind
		relay  func(t *testing.T) string
		status int
		reads  int // requests that the target reads
	}{
		{"a relay passes a request on", policy.Unsafe, func(t *testing.T) string { return startRelay(t, true) }, 200, 1},
		{"a relay that does not know the target is bypassed", policy.Unsafe, func(t *testing.T) string { return startRelay(t, false) }, 200, 1},
		{"a relay that cannot be reached is bypassed", policy.Unsafe, func(*testing.T) string { return "127.0.0.1:1" }, 200, 1},
		{"a safe request that a relay loses is sent to its target", policy.Safe, func(t *testing.T) string { return brokenRelay(t, closed) }, 200, 1},
		{"an unsafe request that a relay loses is not retried", policy.Unsafe, func(t *testing.T) string { return brokenRelay(t, closed) }, 502, 0},
		{"a request that a busy relay did not take goes directly to its target", policy.Unsafe, func(t *testing.T) string { return brokenRelay(t, said(relay.Busy)) }, 200, 1},
		{"an unreached target leaves the request not run", policy.Unsafe, func(t *testing.T) string { return brokenRelay(t, said(relay.Unreached)) }, 503, 0},
		{"a lost answer leaves the outcome of an unsafe request unknown", policy.Unsafe, func(t *testing.T) string { return brokenRelay(t, said(relay.Broken)) }, 502, 0},
		{"a request that timed out at the relay is not retried", policy.Safe, func(t *testing.T) string { return brokenRelay(t, said(relay.TimedOut)) }, 504, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, ok)
			f.relayAt(c.relay(t))
			r, body := f.do("POST", "/"+c.kind.String()+"/x", "1", "hello")
			if r.StatusCode != c.status {
				t.Errorf("status %d with body %q, want %d", r.StatusCode, body, c.status)
			}
			if c.status == 200 && body != "t0:hello" {
				t.Errorf("body %q", body)
			}
			if got := len(ids(f.targets[0])); got != c.reads {
				t.Errorf("the target read %d requests, want %d", got, c.reads)
			}
		})
	}
}

// Guards against requests that wait until their deadline for a relay whose host is
// silent.
func TestSilentRelay(t *testing.T) {
	f := newFixture(t, ok)
	begun := make(chan struct{}, 1)
	f.relayAt(brokenRelay(t, func(net.Conn) { begun <- struct{}{} }))
	conn, br := f.dial()
	fmt.Fprint(conn, request("GET", "/safe/x", "1", ""))
	<-begun
	w := f.gateway.watch
	w.mu.Lock()
	w.controls["c"].lastAnswer = w.now() - relayAbortSilence
	w.mu.Unlock()
	f.gateway.relays.abortSilent()
	if r, body := f.read(br); r.StatusCode != 200 {
		t.Errorf("status %d with body %q", r.StatusCode, body)
	}
	if u := f.gateway.relays.connect(f.gateway.now(), true); u != nil {
		t.Error("a silent relay is used")
	}
}

// Guards against passing on the headers between entry hosts and relays if a caller
// sets them.
func TestCallersCannotAddressRelays(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := newFixture(t, func(s *nettest.Target, conn net.Conn, r *http.Request) {
		seen <- r.Header
		ok(s, conn, r)
	})
	conn, br := f.dial()
	fmt.Fprint(conn, request("GET", "/safe/x", "1", "", relay.HeaderAddress+": 127.0.0.1:1", relay.HeaderRate+": 1"))
	f.read(br)
	if h := <-seen; h.Get(relay.HeaderAddress) != "" || h.Get(relay.HeaderRate) != "" {
		t.Errorf("the target received relay headers: %v", h)
	}
}

// Guards against using a relay of another region, a relay whose host is silent, or
// one that is not the nearest.
func TestNearestRelay(t *testing.T) {
	f := newFixture(t, ok)
	w := f.gateway.watch
	set := func(name, zone, region string, silent time.Duration) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.controls[name] = &controlState{control: fleet.Control{Peer: name, Zone: zone, Region: region, Relay: name}, lastAnswer: w.now() - silent}
	}
	time.Sleep(time.Millisecond) // time 0 would mean that a host has never answered
	set("far", "z3", "r2", 0)
	if got := w.relay(relayBypassSilence).Address; got != "" {
		t.Errorf("relay %q of another region is used", got)
	}
	set("region", "z2", "r1", 0)
	if got := w.relay(relayBypassSilence).Address; got != "region" {
		t.Errorf("relay %q is used, want the one of the region", got)
	}
	set("zone", "z1", "r1", 0)
	if got := w.relay(relayBypassSilence).Address; got != "zone" {
		t.Errorf("relay %q is used, want the one of the availability zone", got)
	}
	set("zone", "z1", "r1", relayBypassSilence)
	if got := w.relay(relayBypassSilence).Address; got != "region" {
		t.Errorf("relay %q is used while that of the availability zone is silent, want the one of the region", got)
	}
}

// losePower sends a request through a relay, whose host then loses power and
// restarts at once. It returns the address of the relay.
func losePower(f *fixture) string {
	f.t.Helper()
	line := nettest.NewPowerLossProxy(f.t, startRelay(f.t, true))
	f.relayAt(line.Address())
	if r, _ := f.do("POST", "/unsafe/x", "1", ""); r.StatusCode != 200 {
		f.t.Fatalf("status %d before the loss of power", r.StatusCode)
	}
	f.awaitKept(1)
	line.PowerCycle()
	return line.Address()
}

// Guards against losing requests on idle connections to a relay whose host has lost
// power: once restarted, the host resets them.
func TestRelayConnectionsEndWithTheirHost(t *testing.T) {
	f := newFixture(t, ok)
	f.relayAt(losePower(f))
	w := f.gateway.watch
	w.mu.Lock()
	w.controls["c"].epoch++ // the host has answered again
	w.mu.Unlock()
	if r, body := f.do("POST", "/unsafe/x", "2", ""); r.StatusCode != 200 {
		t.Errorf("status %d with body %q after the return of the relay", r.StatusCode, body)
	}
}

// Guards against losing requests on idle connections to a relay whose host has lost
// power, before its silence is noticed.
func TestQuietRelayIsProvedByANewConnection(t *testing.T) {
	f := newFixture(t, ok)
	losePower(f)
	time.Sleep(relayAliveWindow + time.Millisecond)
	if r, body := f.do("POST", "/unsafe/x", "2", ""); r.StatusCode != 200 {
		t.Errorf("status %d with body %q after the loss of power", r.StatusCode, body)
	}
}
