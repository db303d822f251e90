package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// fakeCodec is a hop.Codec with short header names.
type fakeCodec struct{}

func (fakeCodec) Call(h http.Header) hop.Call {
	if h.Get("Panic") == "call" {
		panic("a test asked for it")
	}
	ms, _ := strconv.Atoi(h.Get("Left"))
	return hop.Call{ID: h.Get("Id"), Object: h.Get("Object"), TimeLeft: time.Duration(ms) * time.Millisecond}
}

func (fakeCodec) Forward(h http.Header, left time.Duration, target string) {
	if h.Get("Panic") == "forward" {
		panic("a test asked for it")
	}
	h.Set("Left", strconv.FormatInt(left.Milliseconds(), 10))
	h.Set("Target", target)
}

func (fakeCodec) Answer(status int, h http.Header) hop.Answer {
	if h.Get("Panic") == "answer" {
		panic("a test asked for it")
	}
	pause, _ := strconv.Atoi(h.Get("Pause"))
	return hop.Answer{ID: h.Get("Id"), Signed: h.Get("Unsigned") == "", NotExecuted: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Refusal: slices.Contains(refusalStatuses, status),
		Leaving: h.Get("Leaving") != "", RetryAfter: time.Duration(pause) * time.Millisecond}
}

func (fakeCodec) AnswerHeaders() []string {
	return []string{"Id", "Unsigned", "Not-Run", "Leaving", "Pause"}
}

func (fakeCodec) Refuse(h http.Header, pause time.Duration) {
	h.Set("Retry-After", fmt.Sprint(pause.Seconds()))
}
func (fakeCodec) Echo(h http.Header, id string) { h.Set("Id", id) }

// ids returns the identifiers of the requests that a target has read.
func ids(t *nettest.Target) []string {
	var list []string
	for _, r := range t.Requests() {
		list = append(list, r.Header.Get("Id"))
	}
	return list
}

// ok answers with the name of the target.
func ok(t *nettest.Target, conn net.Conn, r *http.Request) {
	answer(conn, 200, r.Header.Get("Id"), t.Name+":"+r.Header.Get("Body"))
}

func answer(conn net.Conn, status int, id, body string, headers ...string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, id, len(body), join(headers), body)
}

func join(headers []string) string {
	var b strings.Builder
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.String()
}

// fixture is a gateway with some targets of one service.
type fixture struct {
	t       *testing.T
	gateway *Gateway
	front   string
	targets []*nettest.Target
	cancel  context.CancelFunc
}

// newFixture starts a gateway with a target for each script. fixture.order returns
// the order of the targets for object "a", which all requests name.
func newFixture(t *testing.T, scripts ...nettest.Script) *fixture {
	t.Helper()
	g := New(Config{
		Name: "g1", Zone: "z1", Region: "r1", Regions: map[string]string{"z1": "r1", "z2": "r2"},
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, ColdOverage: 1.5, ColdSlack: 5,
		MaxIdleConnections: 100, Codec: fakeCodec{}, Client: peer.NewClient("g1"), Log: log.New(io.Discard),
	})
	p := &policy.Policy{Version: 1, Services: map[string]policy.Service{"s": {Name: "s", ColdPerSecond: 3}}}
	p.Limits = policy.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	for _, k := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
		p.Routes = append(p.Routes, policy.Route{Name: k.String(), Host: "h", Prefix: "/" + k.String() + "/", Kind: k, Sticky: true,
			Shares: []policy.Share{{Service: "s", Weight: 1}}, Timeout: time.Second, MaxAttempts: 2})
	}
	p.Index()
	g.view.setPolicy(p)
	f := &fixture{t: t, gateway: g}
	for i, script := range scripts {
		target := nettest.StartTarget(t, script)
		target.Name = fmt.Sprint("t", i)
		f.targets = append(f.targets, target)
		g.view.targets.Apply(g.now(), roster.Report{Announcement: roster.Announcement{
			Name: target.Name, Life: 1, Sequence: 1, Service: "s", Address: target.Address(), Zone: "z1", Slots: 4}})
	}
	l := nettest.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	f.front, f.cancel = l.Addr().String(), cancel
	go g.Run(ctx, l)
	t.Cleanup(func() { cancel(); _ = l.Close() })
	return f
}

// dial opens a connection to the gateway.
func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.front)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func request(method, path, id, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nObject: a\r\nLeft: 5000\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, id, len(body), join(headers), body)
}

// do sends one request on a new connection.
func (f *fixture) do(method, path, id, body string) (*http.Response, string) {
	f.t.Helper()
	conn, br := f.dial()
	fmt.Fprint(conn, request(method, path, id, body))
	return f.read(br)
}

func (f *fixture) read(br *bufio.Reader) (*http.Response, string) {
	f.t.Helper()
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		f.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return r, "cut: " + string(body)
	}
	return r, string(body)
}

// awaitKept waits until the gateway keeps n idle connections to targets and relays.
func (f *fixture) awaitKept(n int) {
	for f.gateway.pool.Size() < n {
		time.Sleep(time.Millisecond) // bounded by the test timeout
	}
}

// order returns the indexes of the targets in the order of object "a" on a route.
func (f *fixture) order(kind policy.Kind) []int {
	f.t.Helper()
	d := &delivery{gateway: f.gateway, service: "s", tried: map[string]bool{}}
	p := f.gateway.view.current()
	d.exchange = &exchange{call: hop.Call{Object: "a"}, policy: p, route: p.Match("h", "/"+kind.String()+"/")}
	var list []int
	for {
		t, _, found := f.gateway.choose(d)
		if !found {
			return list
		}
		d.tried[t.Name] = true
		i, _ := strconv.Atoi(t.Name[1:])
		list = append(list, i)
	}
}
