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
	return hop.Answer{ID: h.Get("Id"), Signed: true}
}
func (testCodec) Refuse(http.Header, time.Duration) {}
func (testCodec) Echo(h http.Header, id string)     { h.Set("Id", id) }

// echo answers with the body of the request.
func echo(_ *nettest.Target, conn net.Conn, r *http.Request) {
	body := r.Header.Get("Body")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
}

// startRelay starts a relay that knows the target "t" at any address but "nowhere".
func startRelay(t *testing.T) (*Server, string) {
	t.Helper()
	s := New(Config{Codec: testCodec{}, MostIdle: 100, Find: func(name, _ string) (roster.Life, bool) {
		return 1, name == "t"
	}, Metrics: metrics.NewRegistry(), Log: log.New(io.Discard)})
	return s, listen(t, s)
}

func listen(t *testing.T, s *Server) string {
	l := nettest.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Serve(ctx, l)
	return l.Addr().String()
}

// entryConn is a connection of an entryConn host.
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

// read returns the answer; the body ends in " (cut)" if it broke off.
func (e *entryConn) read() (*http.Response, string) {
	e.t.Helper()
	r, err := http.ReadResponse(e.br, nil)
	if err != nil {
		e.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return r, string(body) + " (cut)"
	}
	return r, string(body)
}

// Guards against a connection to the target for each entry host, and against
// headers between own processes that reach the target.
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
		t.Errorf("%d connections to the target, want 1", n)
	}
	for _, r := range s.Requests() {
		for _, name := range []string{HeaderTarget, HeaderAddress, HeaderRepeatable, HeaderRate, HeaderBulk} {
			if r.Header.Get(name) != "" {
				t.Errorf("the target received header %s", name)
			}
		}
		if left, _ := strconv.Atoi(r.Header.Get("Left")); left > 1000 || left <= 0 || r.Header.Get("Target") != "t" {
			t.Errorf("the target received time %d for target %q", left, r.Header.Get("Target"))
		}
	}
}

// Guards against answers of the relay's own that say something else than what
// happened: an entry host repeats or refuses by them.
func TestOutcomes(t *testing.T) {
	closed := nettest.Listen(t)
	nobody := closed.Addr().String()
	_ = closed.Close()
	cases := []struct {
		name    string
		target  string
		address string // of the scripted target if empty
		script  nettest.Script
		left    time.Duration
		want    Outcome
		read    int // requests that the target read
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
				t.Error("the connection cannot be used again")
			}
		})
	}
}

// silentAddress returns an address whose host answers no connection: the queue of
// its listener is full.
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

// Guards against a request that counts as run although it was never sent, and
// against requests that each wait for a host which others have found silent.
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
	ask("short", 100*time.Millisecond, Busy) // says nothing of the target
	for i := range breakerThreshold {
		ask(fmt.Sprint("dial ", i), time.Minute, Unreached)
	}
	before := dials()
	ask("spared", time.Minute, Unreached)
	if dials() != before {
		t.Error("a request waited for a host that is known to be silent")
	}
}

// Guards against hosts that stay avoided, and against one lost packet that keeps
// all requests away.
func TestDialBreaker(t *testing.T) {
	s := newDialBreaker()
	s.timedOut(0, "a")
	if s.isOpen(0, "a") {
		t.Error("one attempt that timed out keeps others away")
	}
	s.timedOut(0, "a")
	if !s.isOpen(breakerOpenTime-1, "a") || s.isOpen(breakerOpenTime, "a") || s.isOpen(0, "b") {
		t.Error("the pause has a wrong length or address")
	}
	s.reached("a")
	if s.timedOut(0, "a"); s.isOpen(0, "a") {
		t.Error("attempts before an answer count")
	}
	s.reached("a")
	s.timedOut(0, "a")
	if s.timedOut(breakerWindow+1, "a"); s.isOpen(breakerWindow+1, "a") {
		t.Error("two attempts far apart keep others away")
	}
	if s.expire(time.Hour); len(s.addresses) != 0 {
		t.Error("an address is remembered for good")
	}
}

// Guards against a lost answer that is reported where the time of the request
// ended first, which closes the connection: an entry host repeats the one and
// counts it against the target.
func TestEndOfTimeIsNoLostAnswer(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for ctx, want := range map[context.Context]Outcome{context.Background(): Broken, ended: TimedOut} {
		if got := outcomeOf(ctx); got != want {
			t.Errorf("outcome %q with the request's time %v, want %q", got, ctx.Err(), want)
		}
	}
}

// Guards against bodies that end early and look complete, and against a
// target's header that passes for an outcome of the relay.
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

// Guards against targets that go on working for entry hosts that have given up.
func TestEntryHostLeaves(t *testing.T) {
	_, address := startRelay(t)
	begun := make(chan struct{})
	s := nettest.StartTarget(t, func(*nettest.Target, net.Conn, *http.Request) { close(begun) })
	e := dialRelay(t, address)
	e.send("1", "t", s.Address(), "", 30*time.Second)
	<-begun
	_ = e.conn.Close()
	<-s.Gone()
}

// Guards against stops that cut requests off or take new ones.
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
		t.Errorf("a stopping relay answered %v", r.Header)
	}
	close(release)
	if _, body := e.read(); body != "body" {
		t.Errorf("body %q", body)
	}
	<-stopped
}

// Guards against bulk answers of one entry host that together exceed its link,
// and against other answers that wait behind them.
func TestPacersAreShared(t *testing.T) {
	p := newPacers()
	now := time.Now()
	first, other := p.get(now, "a", 1000), p.get(now, "b", 500)
	if p.get(now, "a", 1000) != first || first == other || first.limiter.Limit() != 1000 || other.limiter.Limit() != 500 {
		t.Error("requests of a host do not share its pacer")
	}
	if p.get(now, "a", 2000); first.limiter.Limit() != 2000 {
		t.Errorf("the rate stays %v", first.limiter.Limit())
	}
	ctx, cancel := context.WithCancel(context.Background())
	for range 4 { // more than the burst: these never wait
		if err := first.reserve(ctx, paceBurst, false); err != nil {
			t.Error(err)
		}
	}
	if left := first.limiter.Tokens(); left > -2*paceBurst {
		t.Errorf("%v bytes may be sent at once after four full parts", left)
	}
	cancel()
	if err := first.reserve(ctx, 1, true); err == nil {
		t.Error("a bulk answer did not wait")
	}
	p.get(now.Add(2*pacerIdleTimeout), "c", 1000)
	if len(p.hosts) != 1 {
		t.Errorf("%d pacers are kept, want the one in use", len(p.hosts))
	}
}

// Guards against requests that are lost on connections which a target's host that
// lost power has left behind: the target has started again and its host resets them.
func TestTargetConnectionsEndWithTheirTarget(t *testing.T) {
	var life atomic.Int64
	s := New(Config{Codec: testCodec{}, MostIdle: 100, Find: func(string, string) (roster.Life, bool) {
		return roster.Life(life.Load()), true
	}, Metrics: metrics.NewRegistry(), Log: log.New(io.Discard)})
	e := dialRelay(t, listen(t, s))
	line := nettest.NewPowerLine(t, nettest.StartTarget(t, echo).Address())
	e.send("1", "t", line.Address(), "body", time.Second)
	if r, _ := e.read(); r.StatusCode != 200 {
		t.Fatalf("status %d before the loss of power", r.StatusCode)
	}
	for s.pool.Size() == 0 {
		time.Sleep(time.Millisecond) // the test's own time limit ends a wait without end
	}
	line.Fail()
	life.Add(1)
	e.send("2", "t", line.Address(), "body", time.Second)
	if r, _ := e.read(); r.StatusCode != 200 {
		t.Errorf("status %d after the target's new start", r.StatusCode)
	}
}
