package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// resettingTarget answers a request as soon as it has read its head, with a part of a body
// that has no length, and resets the connection while the upload goes on.
func resettingTarget(t *testing.T) net.Listener {
	t.Helper()
	l := nettest.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // a hint: the upload should not fit
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart of the body", r.Header.Get("Id"))
				_ = conn.(*net.TCPConn).SetLinger(0) // closing resets
			}()
		}
	}()
	return l
}

// Guards against an upload whose target answers at once without a length and resets the
// connection while the upload is being written, and whose caller gets the part that arrived
// as a whole answer (issue 35).
func TestAnswerResetDuringUploadIsNeverWhole(t *testing.T) {
	f := newFixture(t)
	f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
		Name: "t0", Life: 1, Sequence: 1, Service: "s", Address: resettingTarget(t).Addr().String(), Zone: "z1", Slots: 4}})
	upload := strings.Repeat("u", 900<<10)
	for i := range 60 {
		conn, br := f.dial()
		go func() { fmt.Fprint(conn, request("POST", "/"+policy.Unsafe.String()+"/x", fmt.Sprint(i), upload)) }()
		if status, body, whole := readAnswer(br); whole && status == http.StatusOK {
			t.Fatalf("upload %d: the caller got %q as a whole answer", i, body)
		}
		_ = conn.Close()
	}
}
