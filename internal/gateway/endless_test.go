package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// stream writes part repeatedly until the connection is closed, then sends to closed.
func stream(conn net.Conn, part string, closed chan<- bool) {
	for {
		if _, err := fmt.Fprint(conn, part); err != nil {
			closed <- true
			return
		}
	}
}

// Guards against endless response bodies that a target goes on sending after the
// request's deadline, or that reach the caller as complete answers.
func TestBodyWithoutEnd(t *testing.T) {
	part := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ head, part string }{
		"in chunks":                   {"Transfer-Encoding: chunked\r\n", "400\r\n" + part + "\r\n"},
		"until the connection closes": {"", part},
	} {
		for _, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
			t.Run(name+" "+kind.String(), func(t *testing.T) {
				closed := make(chan bool, 4)
				endless := func(_ *nettest.Target, conn net.Conn, r *http.Request) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n", r.Header.Get("Id"), c.head)
					stream(conn, c.part, closed)
				}
				f := newFixture(t, endless)
				conn, br := f.dial()
				fmt.Fprint(conn, request("GET", "/"+kind.String()+"/x", "1", ""))
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				buf := make([]byte, 32<<10)
				for err == nil {
					_, err = r.Body.Read(buf)
				}
				if err.Error() == "EOF" {
					t.Error("an endless answer reached the caller as complete")
				}
				<-closed // bounded by the test timeout
			})
		}
	}
}

// Guards against reusing a connection on which part of a refusal's body is unread:
// its next bytes are not the answer to the next request.
func TestRefusalWithUnreadBodyEndsItsConnection(t *testing.T) {
	var mu sync.Mutex
	requests := map[net.Conn]int{}
	first := "" // home of the object
	script := func(target *nettest.Target, conn net.Conn, r *http.Request) {
		mu.Lock()
		refuses := target.Name == first
		if refuses {
			requests[conn]++
		}
		mu.Unlock()
		if !refuses {
			ok(target, conn, r)
			return
		}
		// The rest of the body does not come yet.
		fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Id"), 10*bufferedAnswer, strings.Repeat("x", bufferedAnswer))
	}
	f := newFixture(t, script, script)
	f.gateway.view.setPlace(f.gateway.now(), 0, 1) // the whole retry budget
	mu.Lock()
	first = f.targets[f.order(policy.Unsafe)[0]].Name
	mu.Unlock()
	for i := range 3 {
		if r, body := f.do("POST", "/unsafe/x", fmt.Sprint(i), "b"); r.StatusCode != http.StatusOK {
			t.Errorf("request %d is answered %d %q", i, r.StatusCode, body)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, n := range requests {
		if n > 1 {
			t.Errorf("%d requests were sent on a connection in the middle of an answer", n)
		}
	}
	if len(requests) == 0 {
		t.Error("the first home got no request")
	}
}
