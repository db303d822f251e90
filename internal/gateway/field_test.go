package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Guards against an answer with an odd status or field name that reaches the caller,
// directly or through a relay (issue 35).
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	for _, via := range []string{"direct", "relay"} {
		for _, head := range []string{
			"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
			"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n",
			"HTTP/1.1 200 OK\r\nX\x01: z\r\nContent-Length: 2\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n",
		} {
			f := newFixture(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "%sId: %s\r\n\r\nok", head, r.Header.Get("Id"))
				_ = conn.(*net.TCPConn).CloseWrite()
			})
			if via == "relay" {
				f.relayAt(startRelay(t, true))
			}
			if status, body, _ := f.tryRequest(policy.Unsafe, "1"); status != http.StatusBadGateway {
				t.Errorf("%s, %q: the caller got %d %q, want 502", via, head, status, body)
			}
		}
	}
}

// Guards against a request in whose head the name of a field holds a blank: a length in it
// is not applied, and the body would be read as the next request.
func TestOddFieldNameOfACallerIsRefused(t *testing.T) {
	f := newFixture(t, ok)
	for _, field := range []string{"Content-Length : 50", "Transfer-Encoding : chunked", "X Y: z"} {
		conn, err := net.Dial("tcp", f.front)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nObject: a\r\nLeft: 5000\r\n%s\r\n\r\n%s", field, request("POST", "/unsafe/x", "inside", ""))
		br := bufio.NewReader(conn)
		if status, _, _ := readAnswer(br); status != http.StatusBadRequest {
			t.Errorf("field %q was answered with status %d, want 400", field, status)
		}
		if rest, err := io.ReadAll(br); len(rest) > 0 {
			t.Errorf("field %q: more answers follow: %q, error %v", field, rest, err)
		}
		_ = conn.Close()
	}
	if got := ids(f.targets[0]); len(got) > 0 {
		t.Errorf("requests %v reached a target, want none", got)
	}
}
