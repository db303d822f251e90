package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// sent is a request of a caller with its response.
type sent struct {
	id     string
	unsafe bool
	status int // 0 if there was no complete response
	body   string
}

// call sends requests as caller n, alternating between safe and unsafe ones, until the
// deployment has ended. It keeps its connection to an entry host open between requests.
func (d *deployment) call(n int) {
	var conn net.Conn
	var br *bufio.Reader
	for i := 0; !d.hasEnded(); i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", d.fronts[(n+i)%len(d.fronts)], time.Second); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(conn)
		}
		s := sent{id: fmt.Sprintf("c%d-%d-%d", d.seed, n, i), unsafe: i%2 == 0}
		method, path := "GET", "/safe/1"
		if s.unsafe {
			method, path = "POST", "/unsafe/1"
		}
		payload := strings.Repeat(s.id+";", 1+i%50)
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nCookie: Affinity-Key=%d\r\nContent-Length: %d\r\n\r\n%s",
			method, path, s.id, i%7, len(payload), payload)
		closes := true
		if err == nil {
			closes = s.read(br, payload)
		}
		d.recordRequest(s)
		if closes {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(4 * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// read reads the response to s and reports whether the connection has to be closed.
// A response that does not belong to s gets a body with the prefix "wrong".
func (s *sent) read(br *bufio.Reader, payload string) bool {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return true
	}
	s.status, s.body = r.StatusCode, string(body)
	if r.StatusCode == http.StatusOK && (s.body != s.id+"|"+payload || r.Header.Get("Response-Signature") != "s-"+s.id) {
		s.body = "wrong: " + s.body
	}
	if id := r.Header.Get("Request-Id"); id != s.id {
		s.body = "wrong: answer to " + id
	}
	return r.Close
}
