package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Guards against a long upload that is lost because its target is busy and reads on only
// after a second (KNOWN-RED.txt).
func TestUploadToATargetThatReadsLate(t *testing.T) {
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
				time.Sleep(1500 * time.Millisecond)
				if n, err := io.Copy(io.Discard, r.Body); err == nil {
					answer(conn, http.StatusOK, r.Header.Get("Id"), fmt.Sprint(n))
				}
			}()
		}
	}()
	f := newFixture(t)
	for i := range f.gateway.view.current().Routes {
		f.gateway.view.current().Routes[i].Timeout = 5 * time.Second
	}
	f.gateway.view.current().Limits.BodyBytes = 64 << 20
	f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
		Name: "t0", Life: 1, Sequence: 1, Service: "s", Address: l.Addr().String(), Zone: "z1", Slots: 4}})
	long := strings.Repeat("u", 16<<20)
	conn, br := f.dial()
	go func() { fmt.Fprint(conn, request("POST", "/unsafe/x", "1", long)) }()
	if status, body, _ := readAnswer(br); status != http.StatusOK || body != fmt.Sprint(len(long)) {
		t.Errorf("got %d %q, want 200 for all %d bytes", status, body, len(long))
	}
}
