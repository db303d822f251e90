package hop

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// line is a connection of a pool whose other side is played by the test.
type line struct {
	t     *testing.T
	pool  *Pool
	conn  *Conn
	other net.Conn
	br    *bufio.Reader
}

func newLine(t *testing.T) *line {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 4)
	u, err := p.Dial(Endpoint{Address: l.Addr().String()}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = other.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { u.Close(); _ = other.Close() })
	return &line{t: t, pool: p, conn: u, other: other, br: bufio.NewReader(other)}
}

// begin starts a request on the connection and writes its head. The body has 4 bytes.
func (l *line) begin(id string) *Exchange {
	l.t.Helper()
	e, ok := l.conn.Begin(&http.Request{Method: "POST"}, id)
	if !ok {
		l.t.Fatalf("the connection does not take request %s", id)
	}
	if _, err := fmt.Fprintf(e, "POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 4\r\n\r\n", id); err != nil {
		l.t.Fatal(err)
	}
	return e
}

// answer has the other side read the head of a request and write text.
func (l *line) answer(text string) {
	l.t.Helper()
	for line := "-"; line != "\r\n"; {
		var err error
		if line, err = l.br.ReadString('\n'); err != nil {
			l.t.Fatal(err)
		}
	}
	if _, err := io.WriteString(l.other, text); err != nil {
		l.t.Fatal(err)
	}
}

// response waits for a response without an error.
func (l *line) response(e *Exchange) *http.Response {
	l.t.Helper()
	r := <-e.Results()
	if r.Err != nil {
		l.t.Fatal(r.Err)
	}
	return r.Response
}

func turnedAway(id string) string {
	return fmt.Sprintf("HTTP/1.1 502 X\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against a body that is written where the body of the next request on the connection
// is due: the first request is turned away while its sender still waits to be asked for its
// body, and the other side asks for the body of the second (review case 11).
func TestNextRequestIsAskedForItsOwnBody(t *testing.T) {
	l := newLine(t)
	first := l.begin("1")
	first.HoldBody()
	l.answer(turnedAway("1"))
	l.response(first)
	l.pool.Release(first)
	if l.pool.Get(l.conn.to, true) != l.conn {
		t.Fatal("a connection whose request was turned away before its body is not kept")
	}
	second := l.begin("2")
	second.HoldBody()
	l.answer("HTTP/1.1 100 Continue\r\n\r\n")
	<-second.Asked()
	select {
	case <-first.Asked():
		t.Error("the first request was asked for its body")
	default:
	}
	if n, err := io.WriteString(first, "1111"); n != 0 || !errors.Is(err, ErrExchangeEnded) {
		t.Errorf("the first request has written %d bytes, error %v", n, err)
	}
	first.Close() // as a timer of the first request may
	first.Abort()
	l.pool.Release(first)
	if _, err := io.WriteString(second, "2222"); err != nil {
		t.Fatal(err)
	}
	second.MarkSent()
	body := make([]byte, 4)
	if _, err := io.ReadFull(l.br, body); err != nil || string(body) != "2222" {
		t.Errorf("the other side got the body %q, error %v", body, err)
	}
	fmt.Fprint(l.other, turnedAway("2"))
	l.response(second)
	l.pool.Release(second)
	if l.pool.Size() != 1 {
		t.Error("the connection is not kept after the second request")
	}
}

// Guards against a connection that is kept although something of its last request may still
// be written to it or read from it.
func TestOnlyCleanConnectionsAreKept(t *testing.T) {
	const empty, full = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"
	read := func(e *Exchange, r *http.Response) { _, _ = io.ReadAll(r.Body) } // an error shows in the result
	sent := func(e *Exchange, _ *http.Response) { e.MarkSent() }
	for name, c := range map[string]struct {
		answer string
		act    []func(*Exchange, *http.Response)
		kept   bool
	}{
		"whole request, answer without a body": {empty, []func(*Exchange, *http.Response){sent}, true},
		"whole request, answer read":           {full, []func(*Exchange, *http.Response){sent, read}, true},
		"chunked answer read": {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			[]func(*Exchange, *http.Response){sent, read}, true},
		"request not written":                  {empty, nil, false},
		"answer not read":                      {full, []func(*Exchange, *http.Response){sent}, false},
		"answer read in part":                  {full, []func(*Exchange, *http.Response){sent, func(_ *Exchange, r *http.Response) { _, _ = io.ReadFull(r.Body, make([]byte, 2)) }}, false},
		"last answer":                          {strings.Replace(empty, "Id", "Connection: close\r\nId", 1), []func(*Exchange, *http.Response){sent}, false},
		"body held, not asked for":             {empty, []func(*Exchange, *http.Response){func(e *Exchange, _ *http.Response) { e.HoldBody() }}, true},
		"body held, asked for":                 {"HTTP/1.1 100 Continue\r\n\r\n" + empty, []func(*Exchange, *http.Response){func(e *Exchange, _ *http.Response) { e.HoldBody() }}, false},
		"asked for and written":                {"HTTP/1.1 100 Continue\r\n\r\n" + empty, []func(*Exchange, *http.Response){func(e *Exchange, _ *http.Response) { e.HoldBody() }, sent}, true},
		"closed by a timer":                    {empty, []func(*Exchange, *http.Response){sent, func(e *Exchange, _ *http.Response) { e.Close() }}, false},
		"aborted":                              {empty, []func(*Exchange, *http.Response){sent, func(e *Exchange, _ *http.Response) { e.Abort() }}, false},
		"answer that ends with the connection": {"HTTP/1.0 200 OK\r\nId: 1\r\n\r\nbody", []func(*Exchange, *http.Response){sent}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLine(t)
			e := l.begin("1")
			l.answer(c.answer)
			r := l.response(e)
			for _, act := range c.act {
				act(e, r)
			}
			l.pool.Release(e)
			if kept := l.pool.Size() == 1; kept != c.kept {
				t.Errorf("kept %v, want %v", kept, c.kept)
			}
			if _, ok := l.conn.Begin(&http.Request{Method: "GET"}, "2"); ok != c.kept {
				t.Errorf("the connection takes another request: %v, want %v", ok, c.kept)
			}
			if _, err := r.Body.Read(make([]byte, 1)); !errors.Is(err, ErrExchangeEnded) {
				t.Errorf("reading on in the ended answer returns %v", err)
			}
		})
	}
}

// blockedConn is a connection whose writes wait for the test.
type blockedConn struct {
	net.Conn
	writing, release chan struct{}
}

func (c *blockedConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.release
	return len(p), nil
}

// Guards against a connection that is kept while a goroutine still writes a part of its
// request to it.
func TestConnectionIsNotKeptDuringAWrite(t *testing.T) {
	l := newLine(t)
	e := l.begin("1")
	blocked := &blockedConn{Conn: l.conn.conn, writing: make(chan struct{}), release: make(chan struct{})}
	l.conn.conn = blocked
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.WriteString(e, "1111") // its result is not the matter of the test
	}()
	<-blocked.writing
	e.MarkSent() // even if its sender were wrong about that
	l.answer("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
	l.response(e)
	l.pool.Release(e)
	if l.pool.Size() != 0 {
		t.Error("the connection is kept")
	}
	if _, ok := l.conn.Begin(&http.Request{Method: "GET"}, "2"); ok {
		t.Error("the connection takes another request")
	}
	close(blocked.release)
	<-done
}

// Guards against two requests on one connection at the same time.
func TestConnectionCarriesOneRequest(t *testing.T) {
	l := newLine(t)
	e := l.begin("1")
	if _, ok := l.conn.Begin(&http.Request{Method: "GET"}, "2"); ok {
		t.Error("the connection takes a second request beside the first")
	}
	e.Abort()
	if _, ok := l.conn.Begin(&http.Request{Method: "GET"}, "2"); ok {
		t.Error("an aborted connection takes a request")
	}
}

// Guards against a timer or a caller that leaves and closes the connection just when it is
// kept and carries the next request.
func TestLateCloseEndsNoOtherRequest(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: %d\r\nContent-Length: 0\r\n\r\n"
	for i := range 300 {
		l := newLine(t)
		for id := range 20 {
			e := l.begin(fmt.Sprint(id))
			e.MarkSent()
			l.answer(fmt.Sprintf(answer, id))
			l.response(e)
			done := make(chan struct{})
			go func() {
				e.Close()
				close(done)
			}()
			l.pool.Release(e)
			kept := l.pool.Get(l.conn.to, true)
			if kept == nil {
				<-done
				break // the close came first
			}
			next, ok := kept.Begin(&http.Request{Method: "POST"}, "next")
			<-done
			if !ok || !next.current() || l.conn.dead {
				t.Fatalf("connection %d, request %d: the close has ended a connection that was kept", i, id)
			}
			next.MarkSent()
			if _, err := io.WriteString(next, "POST / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			l.answer("HTTP/1.1 200 OK\r\nId: next\r\nContent-Length: 0\r\n\r\n")
			l.response(next)
			l.pool.Release(next)
			if l.pool.Get(l.conn.to, true) == nil {
				t.Fatal("the connection is not kept")
			}
		}
		l.conn.Close()
		_ = l.other.Close()
	}
}
