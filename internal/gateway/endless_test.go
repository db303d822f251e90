package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// stream writes parts until the connection is closed, and tells then.
func stream(conn net.Conn, part string, closed chan<- bool) {
	for {
		if _, err := fmt.Fprint(conn, part); err != nil {
			closed <- true
			return
		}
	}
}

// Guards against bodies without end that a target goes on sending after the
// request's time, or that reach the caller as complete answers.
func TestBodyWithoutEnd(t *testing.T) {
	part := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ head, part string }{
		"in chunks":            {"Transfer-Encoding: chunked\r\n", "400\r\n" + part + "\r\n"},
		"until the connection": {"", part},
	} {
		for _, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
			t.Run(name+" "+kind.String(), func(t *testing.T) {
				closed := make(chan bool, 4)
				endless := func(_ *fakeTarget, conn net.Conn, r *http.Request) {
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
					t.Error("an answer without end reaches the caller as complete")
				}
				<-closed // the test's own time limit ends a wait without end
			})
		}
	}
}
