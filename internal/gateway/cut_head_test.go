package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// cutAnswers returns the starts of an answer with a body that end within its head or its
// body, each with %s for the id of the request.
func cutAnswers() []string {
	const body = "0123456789"
	var cuts []string
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\n" + body,
		"HTTP/1.1 200 OK\nId: %s\nContent-Length: 10\n\n" + body,
		"HTTP/1.0 200 OK\r\nId: %s\r\n\r\n",
	} {
		for end := range whole {
			if !strings.HasSuffix(whole[:end], "%") {
				cuts = append(cuts, whole[:end])
			}
		}
	}
	return cuts
}

// Guards against an answer whose target stops in the middle of its head, or of its body,
// and closes, and that reaches the caller as a whole one (issue 28, third report).
func TestAnswerCutAnywhereIsNeverWhole(t *testing.T) {
	for _, via := range []string{"direct", "relay"} {
		for _, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
			t.Run(via+" "+kind.String(), func(t *testing.T) {
				cuts := cutAnswers()
				cut := make(chan string, 1)
				current := ""
				script := func(_ *nettest.Target, conn net.Conn, r *http.Request) {
					select {
					case current = <-cut:
					default: // another attempt
					}
					fmt.Fprint(conn, strings.Replace(current, "%s", r.Header.Get("Id"), 1))
					_ = conn.Close()
				}
				f := newFixture(t, script)
				f.gateway.config.RetrySlack = 1e6
				if via == "relay" {
					f.relayAt(startRelay(t, true))
				}
				cut <- "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
				if status, body, whole := f.tryRequest(kind, "whole"); status != 200 || body != "ok" || !whole {
					t.Fatalf("a whole answer reached the caller as %d %q, whole %v", status, body, whole)
				}
				for i, c := range cuts {
					cut <- c
					for try := 0; len(cut) > 0; try++ { // a request that is refused before it is sent proves nothing
						if status, body, whole := f.tryRequest(kind, fmt.Sprint(i, ".", try)); whole && status == 200 {
							t.Errorf("answer cut to %q reached the caller as a whole 200 with body %q", c, body)
						}
					}
				}
			})
		}
	}
}

// tryRequest sends a request and returns its answer; whole is whether it was complete.
func (f *fixture) tryRequest(kind policy.Kind, id string) (status int, body string, whole bool) {
	conn, br := f.dial()
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, request("GET", "/"+kind.String()+"/x", id, ""))
	return readAnswer(br)
}

// readAnswer reads an answer that may be cut.
func readAnswer(br *bufio.Reader) (status int, body string, whole bool) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, "", false
	}
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, string(data), err == nil
}
