package nettest

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// EndlessBytes is the number of bytes, far beyond any limit of a message, after which an
// endless target stops sending.
const EndlessBytes = 64 << 20

// StartEndless starts a target that answers each request with start, in which {id} stands
// for the value of the header Id, and then repeats part until the connection is closed or
// EndlessBytes were sent. The channel receives the number of bytes that could be written
// after start, for each request.
func StartEndless(t testing.TB, start, part string) (target *Target, taken <-chan int) {
	t.Helper()
	result := make(chan int, 16)
	many := strings.Repeat(part, 1+(32<<10)/len(part))
	target = StartTarget(t, func(_ *Target, conn net.Conn, r *http.Request) {
		defer conn.Close()
		_, err := io.WriteString(conn, strings.ReplaceAll(start, "{id}", r.Header.Get("Id")))
		sent := 0
		for err == nil && sent < EndlessBytes {
			var n int
			n, err = io.WriteString(conn, many)
			sent += n
		}
		result <- sent
	})
	return target, result
}
