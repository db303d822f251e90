package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// upload is a request body that is streamed.
var upload = strings.Repeat("0123456789abcdef", 20<<10)

// countingRelay starts a relay that knows all targets, and returns its address and metrics.
func countingRelay(t *testing.T) (string, metrics.Registry) {
	t.Helper()
	r := metrics.NewRegistry()
	s := relay.New(relay.Config{Codec: fakeCodec{}, MaxIdleConnections: 100, Find: func(name, _ string) (roster.Target, bool) {
		return roster.Target{Announcement: roster.Announcement{Name: name, Life: 1}}, true
	}, ReportLeaving: func(string, roster.Life) {}, Metrics: r, Log: log.New(io.Discard)})
	return listen(t, s.Serve), r
}

func relayed(r metrics.Registry) int64 {
	return metrics.GetOrRegisterCounter("relay.requests", r).Count()
}

// chunkedRequest returns a request whose body is sent in chunks.
func chunkedRequest(path, id, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nObject: a\r\nLeft: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", path, id)
	for len(body) > 0 {
		n := min(len(body), 10_000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// Guards against large bodies that go to targets directly, and so are lost at an entry host
// that is cut off from them, and against bodies that a relay changes.
func TestLargeBodiesAreStreamedThroughTheRelay(t *testing.T) {
	for name, text := range map[string]string{
		"length": request("POST", "/unsafe/x", "1", upload), "chunked": chunkedRequest("/unsafe/x", "1", upload)} {
		f := newFixture(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
			answer(conn, http.StatusOK, r.Header.Get("Id"), fmt.Sprint(r.Header.Get("Body") == upload))
		})
		address, counts := countingRelay(t)
		f.relayAt(address)
		conn, br := f.dial()
		go func() { fmt.Fprint(conn, text) }() // the target may be slower than the caller
		r, body := f.read(br)
		if r.StatusCode != http.StatusOK || body != "true" {
			t.Errorf("%s: got %d %q, want the whole body at the target", name, r.StatusCode, body)
		}
		if n := relayed(counts); n != 1 {
			t.Errorf("%s: the relay got %d requests, want 1", name, n)
		}
		fmt.Fprint(conn, request("GET", "/safe/y", "2", ""))
		if r, body := f.read(br); r.StatusCode != http.StatusOK {
			t.Errorf("%s: the next request got %d %q", name, r.StatusCode, body)
		}
	}
}

// Guards against a large body that is lost, or sent twice, if the relay does not take it.
func TestLargeBodiesGoDirectlyIfTheRelayTakesNone(t *testing.T) {
	for _, outcome := range []relay.Outcome{relay.Busy, ""} {
		f := newFixture(t, ok)
		f.relayAt(brokenRelay(t, func(conn net.Conn) {
			if outcome == "" {
				_ = conn.Close() // before it has asked for the body
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 502 X\r\nId: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", relay.HeaderOutcome, outcome)
		}))
		conn, br := f.dial()
		go func() { fmt.Fprint(conn, request("POST", "/safe/x", "1", upload)) }()
		if r, body := f.read(br); r.StatusCode != http.StatusOK || body != "t0:"+upload {
			t.Errorf("outcome %q: got %d and %d bytes, want the whole body", outcome, r.StatusCode, len(body))
		}
		if n := len(f.targets[0].Requests()); n != 1 {
			t.Errorf("outcome %q: the target got %d requests, want 1", outcome, n)
		}
	}
}

// Guards against a large body that is refused since its first target cannot be reached,
// although no byte of it was sent.
func TestLargeBodyGoesToTheNextTargetAfterAFailedDial(t *testing.T) {
	f := newFixture(t, ok, ok)
	home := f.targets[f.order(policy.Unsafe)[0]]
	home.Close()
	conn, br := f.dial()
	go func() { fmt.Fprint(conn, request("POST", "/unsafe/x", "1", upload)) }()
	if r, body := f.read(br); r.StatusCode != http.StatusOK || !strings.HasSuffix(body, ":"+upload) || strings.HasPrefix(body, home.Name) {
		t.Errorf("got %d and %d bytes, want the whole body from the other target", r.StatusCode, len(body))
	}
}

// Guards against a request that must not be repeated and is sent again after a relay that had
// asked for its body was lost.
func TestLargeBodyIsNotSentAgainAfterItWasAskedFor(t *testing.T) {
	f := newFixture(t, ok)
	f.relayAt(brokenRelay(t, func(conn net.Conn) {
		fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.CopyN(io.Discard, conn, 70<<10)
		_ = conn.Close()
	}))
	conn, br := f.dial()
	go func() { fmt.Fprint(conn, request("POST", "/unsafe/x", "1", upload)) }()
	if r, _ := f.read(br); r.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d, want 502", r.StatusCode)
	}
	if n := len(f.targets[0].Requests()); n != 0 {
		t.Errorf("the target got %d requests, want none", n)
	}
}

// Guards against a target that takes a body for whole although its caller has left in the
// middle, and against one that works on after that.
func TestCallerThatLeavesCutsItsUpload(t *testing.T) {
	f := newFixture(t, ok)
	address, _ := countingRelay(t)
	f.relayAt(address)
	conn, _ := f.dial()
	text := request("POST", "/unsafe/x", "1", upload)
	fmt.Fprint(conn, text[:len(text)-1000])
	for f.targets[0].Accepted() == 0 {
		time.Sleep(time.Millisecond) // bounded by the test timeout
	}
	_ = conn.Close()
	<-f.targets[0].Disconnected()
	if n := len(f.targets[0].Requests()); n != 0 {
		t.Errorf("the target took %d requests, want none", n)
	}
}

// Guards against an answer that a target gives before it has read a long body, and that does
// not reach the caller through a relay.
func TestEarlyAnswerToAnUploadThroughTheRelay(t *testing.T) {
	l := nettest.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		answer(conn, http.StatusForbidden, r.Header.Get("Id"), "no")
		_, _ = io.Copy(io.Discard, conn)
	}()
	f := newFixture(t)
	f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
		Name: "t0", Life: 1, Sequence: 1, Service: "s", Address: l.Addr().String(), Zone: "z1", Slots: 4}})
	address, _ := countingRelay(t)
	f.relayAt(address)
	conn, br := f.dial()
	text := request("POST", "/unsafe/x", "1", upload)
	fmt.Fprint(conn, text[:len(text)-1000]) // the rest never comes
	if r, body := f.read(br); r.StatusCode != http.StatusForbidden || body != "no" {
		t.Errorf("got %d %q, want the target's 403", r.StatusCode, body)
	}
}

// Guards against a body that is passed to a relay in a region to which its route is not bound.
func TestBodiesStayInTheRegionsOfTheirRoute(t *testing.T) {
	f := newFixture(t, ok)
	address, counts := countingRelay(t)
	f.relayAt(address)
	f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
		Name: "t0", Life: 2, Sequence: 1, Service: "s", Address: f.targets[0].Address(), Zone: "z2", Slots: 4}})
	for i := range f.gateway.view.current().Routes {
		f.gateway.view.current().Routes[i].Regions = []string{"r2"}
	}
	for _, body := range []string{"small", upload} {
		before := relayed(counts)
		conn, br := f.dial()
		go func() { fmt.Fprint(conn, request("POST", "/"+policy.Unsafe.String()+"/x", "1", body)) }()
		if r, got := f.read(br); r.StatusCode != http.StatusOK || got != "t0:"+body {
			t.Errorf("a body of %d bytes got %d and %d bytes", len(body), r.StatusCode, len(got))
		}
		if relayed(counts) != before {
			t.Errorf("a body of %d bytes was passed to a relay in another region", len(body))
		}
	}
	if r, _ := f.do("GET", "/safe/x", "2", ""); r.StatusCode != http.StatusOK || relayed(counts) != 1 {
		t.Errorf("a request without a body got %d, and the relay %d requests, want 1", r.StatusCode, relayed(counts))
	}
}
