package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Guards against reading a pipelined request only after the previous answer.
func TestRequestsAreReadAhead(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(target *nettest.Target, c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "i1" {
			<-release
		}
		ok(target, c, r)
	})
	conn, br := f.dial()
	for i := 1; i <= 3; i++ {
		fmt.Fprint(conn, request("GET", "/safe/1", fmt.Sprint("i", i), ""))
	}
	for len(ids(f.targets[0])) < 3 {
		time.Sleep(time.Millisecond) // bounded by the test timeout
	}
	close(release)
	for i := 1; i <= 3; i++ {
		if r, _ := f.read(br); r.Header.Get("Id") != fmt.Sprint("i", i) {
			t.Errorf("answer %d belongs to request %s", i, r.Header.Get("Id"))
		}
	}
}

// Guards against running an unsafe request that was pipelined behind one whose
// answer closes the connection: the caller sends it again.
func TestUnsafeWaitsForItsTurn(t *testing.T) {
	f := newFixture(t, func(target *nettest.Target, c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "i1" {
			time.Sleep(100 * time.Millisecond)
		}
		ok(target, c, r)
	})
	conn, br := f.dial()
	fmt.Fprint(conn, request("GET", "/safe/1", "i1", "", "Connection: close"))
	fmt.Fprint(conn, request("POST", "/unsafe/1", "i2", "x"))
	if r, _ := f.read(br); !r.Close {
		t.Error("the answer does not say that the connection closes")
	}
	if _, err := io.ReadAll(br); err != nil {
		t.Errorf("the connection did not end cleanly: %v", err)
	}
	if read := ids(f.targets[0]); len(read) != 1 {
		t.Errorf("the target read %v, want only i1", read)
	}
}

// Guards against a shutdown that cuts off requests in flight, or that accepts
// connections after its accept period.
func TestStopFinishesWork(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(target *nettest.Target, c net.Conn, r *http.Request) {
		<-release
		ok(target, c, r)
	})
	conn, br := f.dial()
	idle, idleReader := f.dial()
	_ = idle
	f.gateway.view.current().Routes[0].Timeout = 8 * time.Second
	fmt.Fprint(conn, request("GET", "/safe/1", "i1", ""))
	for len(ids(f.targets[0])) == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		f.gateway.Stop(8 * time.Second)
		close(stopped)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want EOF", err)
	}
	if late, err := net.Dial("tcp", f.front); err == nil {
		_ = late.Close()
		t.Error("a connection was accepted after the accept period of the shutdown")
	}
	close(release)
	r, body := f.read(br)
	if r.StatusCode != 200 || body != "t0:" || !r.Close {
		t.Errorf("answer %d %q, close %v", r.StatusCode, body, r.Close)
	}
	<-stopped
}

// Guards against passing on malformed, oversized or ambiguously framed requests.
func TestBadRequests(t *testing.T) {
	f := newFixture(t, ok)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no request":       {"nonsense\r\n\r\n", 400},
		"long header":      {"GET /safe/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		"long body":        {"POST /safe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", 413},
		"unknown route":    {"GET /none/1 HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		"two lengths":      {"POST /safe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		"bad chunked body": {"POST /safe/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			conn, br := f.dial()
			go func() { _, _ = io.WriteString(conn, c.text) }()
			r, _ := f.read(br)
			if r.StatusCode != c.status {
				t.Errorf("status %d, want %d", r.StatusCode, c.status)
			}
		})
	}
	if n := len(ids(f.targets[0])); n != 0 {
		t.Errorf("a target read %d of the bad requests", n)
	}
}

// Guards against request bodies that are altered on the way to the target.
func TestBodies(t *testing.T) {
	f := newFixture(t, ok)
	long := strings.Repeat("0123456789", 30000) // longer than bufferedBody
	for name, c := range map[string]struct{ head, sent, want string }{
		"short":        {"Content-Length: 5", "hello", "hello"},
		"chunked":      {"Transfer-Encoding: chunked", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde"},
		"long":         {fmt.Sprintf("Content-Length: %d", len(long)), long, long},
		"long chunked": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), long},
	} {
		t.Run(name, func(t *testing.T) {
			conn, br := f.dial()
			go fmt.Fprintf(conn, "PUT /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: i\r\n%s\r\n\r\n%s", c.head, c.sent)
			r, body := f.read(br)
			if r.StatusCode != 200 || body != "t0:"+c.want {
				t.Errorf("status %d, %d bytes, want %d", r.StatusCode, len(body), len(c.want)+3)
			}
		})
	}
}

// Guards against truncated answers that look complete to the caller, for each
// framing that a target may use.
func TestStreamedAnswers(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		script nettest.Script
		cut    bool
	}{
		"length": {func(_ *nettest.Target, c net.Conn, r *http.Request) { answer(c, 200, r.Header.Get("Id"), long) }, false},
		"length cut": {func(_ *nettest.Target, c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(long)+1, long)
			_ = c.Close()
		}, true},
		"until close": {func(_ *nettest.Target, c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), long)
			_ = c.Close()
		}, false},
		"until reset": {func(_ *nettest.Target, c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), long)
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, true},
		"chunked cut": {func(_ *nettest.Target, c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(long), long)
			_ = c.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.script)
			r, body := f.do("GET", "/download/1", "i1", "")
			if r.StatusCode != 200 {
				t.Fatalf("status %d", r.StatusCode)
			}
			if cut := strings.HasPrefix(body, "cut"); cut != c.cut {
				t.Errorf("cut %v, want %v (%d bytes)", cut, c.cut, len(body))
			}
			if !c.cut && body != long {
				t.Errorf("%d bytes arrived, want %d", len(body), len(long))
			}
		})
	}
}

// Guards against parsing the rest of a body as the next request. If a request is
// answered before its long body was read, the connection must close.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	hidden := request("POST", "/unsafe/1", "hidden", "x")
	long := strings.Repeat("0", bufferedBody) + strings.Repeat(hidden, 200)
	silent := func(*nettest.Target, net.Conn, *http.Request) {}
	for name, spoil := range map[string]func(*fixture){
		"a target that does not answer":    func(*fixture) {},
		"no target that takes the request": func(f *fixture) { f.targets[0].Close() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, silent, ok)
			order := f.order(policy.Unsafe)
			f.targets[order[0]].Script, f.targets[order[1]].Script = silent, ok
			f.targets[order[1]].Close()
			if order[0] != 0 {
				f.targets[0], f.targets[order[0]] = f.targets[order[0]], f.targets[0]
			}
			spoil(f)
			conn, br := f.dial()
			go fmt.Fprintf(conn, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: outer\r\nObject: a\r\nLeft: 300\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
			r, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if _, err := io.ReadAll(r.Body); err != nil || r.StatusCode < 500 {
				t.Errorf("status %d with body error %v, want an error status and none", r.StatusCode, err)
			}
			if second, err := http.ReadResponse(br, nil); err == nil {
				t.Errorf("one request got a second answer with status %d", second.StatusCode)
			}
			for _, target := range f.targets {
				for _, id := range ids(target) {
					if id == "hidden" {
						t.Fatal("a target received bytes of the body as a request")
					}
				}
			}
		})
	}
}
