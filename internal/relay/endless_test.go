package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// Guards against a faulty target whose bytes without end fill the memory of the relay that
// called it, or reach the entry host as a whole answer (issue 28, first report).
func TestAnswersWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, part string }{
		"no answer":       {"", "\x00\xffgarbage"},
		"status line":     {"HTTP/1.1 200 ", "OK"},
		"one header":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many headers":    {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "1;", "x"},
		"empty lines":     {chunked, "\r\n"},
		"trailer":         {chunked + "0\r\n", "X: x\r\n"},
		"chunks":          {chunked, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startRelay(t)
			target, taken := nettest.StartEndless(t, c.start, c.part)
			e := dialRelay(t, address)
			e.send("1", "t", target.Address(), "", 300*time.Millisecond)
			if r, err := http.ReadResponse(e.br, nil); err == nil && r.StatusCode == http.StatusOK {
				if n, err := io.Copy(io.Discard, r.Body); err == nil {
					t.Errorf("a whole answer of %d bytes was passed on", n)
				}
			} // otherwise the relay says that there is no answer, or has closed the connection
			if n := <-taken; n >= nettest.EndlessBytes && name != "chunks" { // chunks are passed on
				t.Errorf("%d bytes were taken, want fewer: the connection must be closed", n)
			}
		})
	}
}

// Guards against a relay that keeps what a target sends while the entry host reads nothing.
func TestUnreadAnswerIsNotKept(t *testing.T) {
	s, address := startRelay(t)
	target, taken := nettest.StartEndless(t, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n", strings.Repeat("x", 1<<10))
	e := dialRelay(t, address)
	e.send("1", "t", target.Address(), "", 500*time.Millisecond)
	if n := <-taken; n >= nettest.EndlessBytes {
		t.Errorf("%d bytes were taken although nothing was read, want what the sockets hold", n)
	}
	if _, err := io.Copy(io.Discard, e.br); err != nil {
		t.Logf("connection to the entry host: %v", err) // closed by the relay
	}
	for s.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond) // bounded by the test timeout
	}
}
