package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// testCodec uses short header names of its own.
type testCodec struct{}

func (testCodec) Call(h http.Header) hop.Call {
	ms, _ := strconv.Atoi(h.Get("Left"))
	return hop.Call{ID: h.Get("Id"), TimeLeft: time.Duration(ms) * time.Millisecond}
}

func (testCodec) Forward(h http.Header, left time.Duration, target string) {
	h.Set("Left", strconv.FormatInt(left.Milliseconds(), 10))
	h.Set("Target", target)
}

func (testCodec) Answer(_ int, h http.Header) hop.Answer {
	pause, _ := strconv.Atoi(h.Get("Pause"))
	return hop.Answer{ID: h.Get("Id"), Signed: true, NotExecuted: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != "",
		RetryAfter: time.Duration(pause) * time.Millisecond}
}
func (testCodec) AnswerHeaders() []string           { return []string{"Id", "Not-Run", "Leaving"} }
func (testCodec) Refuse(http.Header, time.Duration) {}
func (testCodec) Echo(h http.Header, id string)     { h.Set("Id", id) }

// echo responds with the value of the request's Body header.
func echo(_ *nettest.Target, conn net.Conn, r *http.Request) {
	body := r.Header.Get("Body")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
}

// startRelay starts a relay that knows the target "t", at any address, as leaving once
// that was reported.
func startRelay(t *testing.T) (*Server, string) {
	t.Helper()
	var leaving atomic.Bool
	s := New(Config{Codec: testCodec{}, MaxIdleConnections: 100, Find: func(name, _ string) (roster.Target, bool) {
		return roster.Target{Announcement: roster.Announcement{Name: name, Life: 1, Leaving: leaving.Load()}}, name == "t"
	}, ReportLeaving: func(string, roster.Life) { leaving.Store(true) }, Metrics: metrics.NewRegistry(), Log: log.New(io.Discard)})
	return s, listen(t, s)
}

func listen(t *testing.T, s *Server) string {
	l := nettest.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Serve(ctx, l)
	return l.Addr().String()
}

// entryConn is a connection of an entry host to the relay.
type entryConn struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func dialRelay(t *testing.T, address string) *entryConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &entryConn{t: t, conn: conn, br: bufio.NewReader(conn)}
}

func (e *entryConn) send(id, name, address, body string, left time.Duration, headers ...string) {
	fmt.Fprintf(e.conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: %s\r\nLeft: %d\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		id, left.Milliseconds(), HeaderTarget, name, HeaderAddress, address, len(body), strings.Join(headers, ""), body)
}

// read returns the response. The body ends in " (cut)" if it was incomplete.
func (e *entryConn) read() (*http.Response, string) {
	e.t.Helper()
	r, err := http.ReadResponse(e.br, nil)
	if err != nil {
		e.t.Fatalf("cannot read a response from the relay: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return r, string(body) + " (cut)"
	}
	return r, string(body)
}

// Entry hosts must share the connections to a target instead of opening one each, and
// the headers between entry host and relay must not reach the target.
func TestEntryHostsShareConnections(t *testing.T) {
	_, address := startRelay(t)
	s := nettest.StartTarget(t, echo)
	for i := range 4 {
		e := dialRelay(t, address)
		for j := range 3 {
			id := fmt.Sprint(i, ".", j)
			e.send(id, "t", s.Address(), "body"+id, time.Second, HeaderRate+": 1000000\r\n", HeaderBulk+": 1\r\n", HeaderRepeatable+": 1\r\n")
			if r, body := e.read(); r.StatusCode != 200 || body != "body"+id || r.Header.Get("Id") != id {
				t.Fatalf("request %s got %d %q", id, r.StatusCode, body)
			}
		}
	}
	if n := s.Accepted(); n != 1 {
		t.Errorf("%d connections to the target, want 1 shared by all entry hosts", n)
	}
	for _, r := range s.Requests() {
		for _, name := range []string{HeaderTarget, HeaderAddress, HeaderLife, HeaderRepeatable, HeaderRate, HeaderBulk} {
			if r.Header.Get(name) != "" {
				t.Errorf("the target received the relay header %s, want it removed", name)
			}
		}
		if left, _ := strconv.Atoi(r.Header.Get("Left")); left > 1000 || left <= 0 || r.Header.Get("Target") != "t" {
			t.Errorf("the target received %d ms left for target %q, want 1 to 1000 ms for \"t\"", left, r.Header.Get("Target"))
		}
	}
}

// An entry host decides by the outcome whether to retry or to refuse a request, so the
// outcome must state correctly whether the request was sent.
func TestOutcomes(t *testing.T) {
	closed := nettest.Listen(t)
	nobody := closed.Addr().String()
	_ = closed.Close()
	cases := []struct {
		name    string
		target  string
		address string // address of the scripted target if empty
		script  nettest.Script
		left    time.Duration
		want    Outcome
		read    int // requests that the target must have read
	}{
		{"an unknown target is sent nothing", "other", "", echo, time.Second, Busy, 0},
		{"no time left", "t", "", echo, 0, Busy, 0},
		{"nobody listens", "t", nobody, echo, time.Second, Unreached, 0},
		{"the target closes without an answer", "t", "", func(_ *nettest.Target, c net.Conn, _ *http.Request) { _ = c.Close() }, time.Second, Broken, 1},
		{"the target answers another request", "t", "", func(_ *nettest.Target, c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		}, time.Second, Broken, 1},
		{"the target sends no answer in time", "t", "", func(*nettest.Target, net.Conn, *http.Request) {}, 50 * time.Millisecond, TimedOut, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, address := startRelay(t)
			s := nettest.StartTarget(t, c.script)
			if c.address == "" {
				c.address = s.Address()
			}
			e := dialRelay(t, address)
			e.send("1", c.target, c.address, "", c.left)
			r, _ := e.read()
			if got := Outcome(r.Header.Get(HeaderOutcome)); got != c.want || r.Header.Get("Id") != "1" {
				t.Errorf("outcome %q for id %q, want %q", got, r.Header.Get("Id"), c.want)
			}
			if n := len(s.Requests()); n != c.read {
				t.Errorf("the target read %d requests, want %d", n, c.read)
			}
			e.send("2", "other", s.Address(), "", time.Second)
			if r, _ := e.read(); r.Header.Get("Id") != "2" {
				t.Error("the next request on the connection got no response with its id")
			}
		})
	}
}

// silentAddress returns an address at which connection attempts time out, because the
// backlog of its listener is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// A request that was never sent must not be reported as possibly run. Once dials to a
// host have timed out, further requests must not each wait for their own timeout.
func TestSilentTarget(t *testing.T) {
	s, address := startRelay(t)
	silent := silentAddress(t)
	e := dialRelay(t, address)
	ask := func(id string, left time.Duration, want Outcome) {
		t.Helper()
		e.send(id, "t", silent, "", left)
		if r, _ := e.read(); Outcome(r.Header.Get(HeaderOutcome)) != want {
			t.Errorf("request %s: outcome %q, want %q", id, r.Header.Get(HeaderOutcome), want)
		}
	}
	dials := func() int64 { return metrics.GetOrRegisterCounter("relay.dials", s.config.Metrics).Count() }
	ask("short", 100*time.Millisecond, Busy) // the deadline of the request, not the target, ended the dial
	for i := range breakerThreshold {
		ask(fmt.Sprint("dial ", i), time.Minute, Unreached)
	}
	before := dials()
	ask("spared", time.Minute, Unreached)
	if dials() != before {
		t.Error("a request dialled a host whose breaker is open")
	}
}

// The breaker must not open after a single timeout, which may be due to a lost packet,
// and must not stay open.
func TestDialBreaker(t *testing.T) {
	s := newDialBreaker()
	s.timedOut(0, "a")
	if s.isOpen(0, "a") {
		t.Error("the breaker is open after one timeout")
	}
	s.timedOut(0, "a")
	if !s.isOpen(breakerOpenTime-1, "a") || s.isOpen(breakerOpenTime, "a") || s.isOpen(0, "b") {
		t.Error("after two timeouts the breaker is not open for exactly breakerOpenTime and this address only")
	}
	s.reached("a")
	if s.timedOut(0, "a"); s.isOpen(0, "a") {
		t.Error("a timeout before a successful dial still counts")
	}
	s.reached("a")
	s.timedOut(0, "a")
	if s.timedOut(breakerWindow+1, "a"); s.isOpen(breakerWindow+1, "a") {
		t.Error("two timeouts further apart than breakerWindow open the breaker")
	}
	if s.expire(time.Hour); len(s.addresses) != 0 {
		t.Error("expire kept an address an hour after its last timeout")
	}
}

// The end of a request's deadline closes its connection. If that is reported as a lost
// response, the entry host retries the request and counts a failure of the target.
func TestEndOfTimeIsNoLostAnswer(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for ctx, want := range map[context.Context]Outcome{context.Background(): Broken, ended: TimedOut} {
		if got := outcomeOf(ctx); got != want {
			t.Errorf("outcome %q for context error %v, want %q", got, ctx.Err(), want)
		}
	}
}

// A body that ends early must not look complete, and a header of the target must not
// be taken for an outcome reported by the relay.
func TestBodies(t *testing.T) {
	long := strings.Repeat("0123456789", 5000)
	cases := []struct {
		name, answer, want string
		close              bool
	}{
		{"long", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long), long, false},
		{"cut", "Content-Length: 100\r\n\r\nshort", "short (cut)", true},
		{"without a length", "Connection: close\r\n\r\n" + long, long, true},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", false},
		{"chunked and cut", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "abc (cut)", true},
		{"forged outcome", HeaderOutcome + ": busy\r\nContent-Length: 2\r\n\r\nok", "ok", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, address := startRelay(t)
			s := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), c.answer)
				if c.close {
					_ = conn.Close()
				}
			})
			e := dialRelay(t, address)
			e.send("1", "t", s.Address(), "", 5*time.Second, HeaderRate+": 100000000\r\n", HeaderBulk+": 1\r\n")
			r, body := e.read()
			if body != c.want || r.Header.Get(HeaderOutcome) != "" {
				t.Errorf("body of %d bytes, outcome %q, want %d bytes", len(body), r.Header.Get(HeaderOutcome), len(c.want))
			}
		})
	}
}

// Once an entry host has closed its connection, the target must not continue to work
// on its request.
func TestEntryHostLeaves(t *testing.T) {
	_, address := startRelay(t)
	begun := make(chan struct{})
	s := nettest.StartTarget(t, func(*nettest.Target, net.Conn, *http.Request) { close(begun) })
	e := dialRelay(t, address)
	e.send("1", "t", s.Address(), "", 30*time.Second)
	<-begun
	_ = e.conn.Close()
	<-s.Disconnected()
}

// Stop must neither cut off requests in flight nor let the relay accept new ones.
func TestStop(t *testing.T) {
	relay, address := startRelay(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s := nettest.StartTarget(t, func(s *nettest.Target, conn net.Conn, r *http.Request) {
		close(begun)
		<-release
		echo(s, conn, r)
	})
	e := dialRelay(t, address)
	e.send("1", "t", s.Address(), "body", 30*time.Second)
	<-begun
	stopped := make(chan struct{})
	go func() { relay.Stop(30 * time.Second); close(stopped) }()
	for !relay.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	other := dialRelay(t, address)
	other.send("2", "t", s.Address(), "", time.Second)
	if r, _ := other.read(); Outcome(r.Header.Get(HeaderOutcome)) != Busy {
		t.Errorf("a stopping relay responded with headers %v, want outcome busy", r.Header)
	}
	close(release)
	if _, body := e.read(); body != "body" {
		t.Errorf("request in flight during the stop: body %q, want \"body\"", body)
	}
	<-stopped
}

// Bulk responses to one entry host must share a pacer, or together they exceed its link.
// Other responses must not wait behind them.
func TestPacersAreShared(t *testing.T) {
	p := newPacers()
	now := time.Now()
	first, other := p.get(now, "a", 1000), p.get(now, "b", 500)
	if p.get(now, "a", 1000) != first || first == other || first.limiter.Limit() != 1000 || other.limiter.Limit() != 500 {
		t.Error("the pacers are not one for each host at the rate of its link")
	}
	if p.get(now, "a", 2000); first.limiter.Limit() != 2000 {
		t.Errorf("rate %v after a change of the link rate, want 2000", first.limiter.Limit())
	}
	ctx, cancel := context.WithCancel(context.Background())
	for range 4 { // more than the burst: responses that are not bulk never wait
		if err := first.reserve(ctx, paceBurst, false); err != nil {
			t.Error(err)
		}
	}
	if left := first.limiter.Tokens(); left > -2*paceBurst {
		t.Errorf("%v tokens left after four full parts, want a deficit of more than two parts", left)
	}
	cancel()
	if err := first.reserve(ctx, 1, true); err == nil {
		t.Error("a bulk response was sent at once despite the deficit")
	}
	p.get(now.Add(2*pacerIdleTimeout), "c", 1000)
	if len(p.hosts) != 1 {
		t.Errorf("%d pacers are kept, want only the one in use", len(p.hosts))
	}
}

// When the host of a target loses power, connections to it stay open on the relay.
// After the restart the host resets them, so a request sent on one would be lost.
func TestTargetConnectionsEndWithTheirTarget(t *testing.T) {
	var life atomic.Int64
	s := New(Config{Codec: testCodec{}, MaxIdleConnections: 100, Find: func(string, string) (roster.Target, bool) {
		return roster.Target{Announcement: roster.Announcement{Life: roster.Life(life.Load())}}, true
	}, Metrics: metrics.NewRegistry(), Log: log.New(io.Discard)})
	e := dialRelay(t, listen(t, s))
	line := nettest.NewPowerLossProxy(t, nettest.StartTarget(t, echo).Address())
	e.send("1", "t", line.Address(), "body", time.Second)
	if r, _ := e.read(); r.StatusCode != 200 {
		t.Fatalf("status %d before the power loss, want 200", r.StatusCode)
	}
	for s.pool.Size() == 0 {
		time.Sleep(time.Millisecond) // bounded by the test's own timeout
	}
	line.PowerCycle()
	life.Add(1)
	e.send("2", "t", line.Address(), "body", time.Second)
	if r, _ := e.read(); r.StatusCode != 200 {
		t.Errorf("status %d after the restart of the target, want 200", r.StatusCode)
	}
}

// A refusal without an id on the relay's new connection to a target belongs to the
// request. The entry host, whose connection to the relay is a used one, can only know
// that if the relay adds the id; on a used connection to the target the refusal may be
// a copy of an earlier one and must not reach the entry host.
func TestRefusalsWithoutID(t *testing.T) {
	_, address := startRelay(t)
	target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		if r.Header.Get("Id") == "2" {
			echo(nil, conn, r)
		}
	})
	e := dialRelay(t, address)
	for _, want := range []struct {
		id     string
		status int
	}{{"1", 503}, {"2", 200}} {
		e.send(want.id, "t", target.Address(), "", time.Second, HeaderRepeatable+": 1\r\n")
		if r, _ := e.read(); r.StatusCode != want.status || r.Header.Get("Id") != want.id {
			t.Errorf("request %s got %d with id %q, want %d", want.id, r.StatusCode, r.Header.Get("Id"), want.status)
		}
	}
}

// A target that says in an answer that it is about to exit, or asks for a pause, must
// get no later request from the relay, whichever entry host sends it.
func TestTargetsThatWantNoRequests(t *testing.T) {
	for _, test := range []struct {
		name, header string
		outcome      Outcome
		paused       bool // the outcome tells for how long
	}{
		{"leaving", "Leaving: 1", Leaving, false},
		{"pause", "Pause: 60000", Paused, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, address := startRelay(t)
			target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 503 Unavailable\r\nId: %s\r\nNot-Run: 1\r\n%s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), test.header)
			})
			first, second := dialRelay(t, address), dialRelay(t, address)
			first.send("1", "t", target.Address(), "", time.Second)
			if r, _ := first.read(); r.StatusCode != 503 {
				t.Fatalf("the first request got %d", r.StatusCode)
			}
			second.send("2", "t", target.Address(), "", time.Second)
			r, _ := second.read()
			if got := Outcome(r.Header.Get(HeaderOutcome)); got != test.outcome {
				t.Errorf("the second request has the outcome %q, want %q", got, test.outcome)
			}
			if left := PauseLeft(r.Header); (left > 50*time.Second) != test.paused {
				t.Errorf("the second request is told a pause of %v", left)
			}
			if n := len(target.Requests()); n != 1 {
				t.Errorf("the target got %d requests, want 1", n)
			}
		})
	}
}

// Guards against a relay that has not heard of a target's new incarnation yet and answers
// for the earlier one, which has left or wants no requests: the entry host took that for
// the new one, and nobody used it any more (review case 3).
func TestOutcomesNameTheirIncarnation(t *testing.T) {
	for _, test := range []struct {
		name, header string
		outcome      Outcome
	}{
		{"leaving", "Leaving: 1", Leaving},
		{"pause", "Pause: 60000", Paused},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, address := startRelay(t) // knows life 1
			target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 503 Unavailable\r\nId: %s\r\nNot-Run: 1\r\n%s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), test.header)
			})
			e := dialRelay(t, address)
			ask := func(id, life string) (Outcome, string) {
				e.send(id, "t", target.Address(), "", time.Second, HeaderLife+": "+life+"\r\n")
				r, _ := e.read()
				return Outcome(r.Header.Get(HeaderOutcome)), r.Header.Get(HeaderLife)
			}
			if outcome, _ := ask("1", "1"); outcome != "" {
				t.Fatalf("the first request has the outcome %q", outcome)
			}
			if outcome, life := ask("2", "1"); outcome != test.outcome || life != "1" {
				t.Errorf("a request for life 1 has the outcome %q of life %q, want %q of life 1", outcome, life, test.outcome)
			}
			if outcome, _ := ask("3", "2"); outcome != Busy {
				t.Errorf("a request for life 2 has the outcome %q, want %q", outcome, Busy)
			}
		})
	}
}
