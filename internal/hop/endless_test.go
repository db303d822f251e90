package hop

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// endlessBytes is far more than any head has; a target of these tests gives up then.
const endlessBytes = 64 << 20

// listenEndless starts a target that answers with a start and then the same
// part again and again, until the connection is closed. The channel tells how
// many bytes were taken.
func listenEndless(t *testing.T, start, part string) (address string, taken <-chan int) {
	t.Helper()
	result := make(chan int, 1)
	target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, _ *http.Request) {
		defer conn.Close()
		_, err := io.WriteString(conn, start)
		many := strings.Repeat(part, 1+(32<<10)/len(part))
		sent := 0
		for err == nil && sent < endlessBytes {
			var n int
			n, err = io.WriteString(conn, many)
			sent += n
		}
		result <- sent
	})
	return target.Address(), result
}

// Guards against a target that sends a head without end and so fills the memory
// of the host that waits for its answer.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ start, part string }{
		"no answer at all":    {"", "\x00\xffgarbage"},
		"status line":         {"HTTP/1.1 200 ", "OK"},
		"one header":          {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many headers":        {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"informational heads": {"", "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"},
		"head of a stray one": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, taken := listenEndless(t, c.start, c.part)
			p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 1)
			u, err := p.Dial(Endpoint{Address: address}, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer u.Close()
			responses, _ := u.Expect(&http.Request{Method: "GET"}, "1")
			if _, err := io.WriteString(u, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			r := <-responses
			if r.Err == nil {
				t.Fatalf("a head without end is taken for %v", r.Response)
			}
			if strings.HasPrefix(name, "informational") != errors.Is(r.Err, ErrWrongAnswer) {
				t.Errorf("error %v", r.Err)
			}
			if n := <-taken; n >= endlessBytes {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
