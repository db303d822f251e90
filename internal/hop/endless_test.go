package hop

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// A faulty target may send a response head that never ends. Without a limit, the host
// that reads it runs out of memory.
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
			target, taken := nettest.StartEndless(t, c.start, c.part)
			p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 1)
			u, err := p.Dial(Endpoint{Address: target.Address()}, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer u.Close()
			e, _ := u.Begin(&http.Request{Method: "GET"}, "1")
			if _, err := io.WriteString(e, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			r := <-e.Results()
			if r.Err == nil {
				t.Fatalf("endless head was accepted as response %v, want an error", r.Response)
			}
			if strings.HasPrefix(name, "informational") != errors.Is(r.Err, ErrWrongAnswer) {
				t.Errorf("error %v, want ErrWrongAnswer only for informational heads", r.Err)
			}
			if n := <-taken; n >= nettest.EndlessBytes {
				t.Errorf("%d bytes were read, want fewer: the connection must be closed at the limit", n)
			}
		})
	}
}
