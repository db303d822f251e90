package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// A fault that one request meets must end that request only. Where it may have run, the
// caller must not be told that it has not.
func TestPanicEndsOneRequest(t *testing.T) {
	f := newFixture(t, func(target *nettest.Target, conn net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "answer" {
			answer(conn, 200, "answer", "", "Panic: answer")
			return
		}
		ok(target, conn, r)
	})
	for _, at := range []string{"call", "forward", "answer"} {
		conn, br := f.dial()
		header := "Panic: " + at
		if at == "answer" {
			header = "X: y" // the target's answer has the header
		}
		fmt.Fprint(conn, request("POST", "/unsafe/x", at, "", header))
		r, err := http.ReadResponse(br, nil)
		switch {
		case at == "call" && err == nil:
			t.Errorf("%s: answered with %d, want a closed connection", at, r.StatusCode)
		case at != "call" && (err != nil || r.StatusCode != http.StatusBadGateway):
			t.Errorf("%s: answered with %v, error %v, want 502", at, r, err)
		}
		if r, body := f.do("POST", "/unsafe/x", "after "+at, ""); r.StatusCode != 200 {
			t.Errorf("the request after %s got %d %q", at, r.StatusCode, body)
		}
	}
}

// A fault in a relay's goroutine must end one connection of an entry host only.
func TestPanicInRelayEndsOneConnection(t *testing.T) {
	address := startRelay(t, true)
	for range 2 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nPanic: call\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			t.Error("the relay answered a request whose handler panics")
		}
	}
}
