package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Sent is a request of a client with its answer.
type Sent struct {
	ID     string
	At     time.Time // when it was sent
	Edge   string    // entry host that got it
	Status int       // 0 if there was no complete answer
	Body   string
}

var requestNumber atomic.Uint64

// NextID returns a new request id.
func NextID() string { return fmt.Sprintf("%016x", requestNumber.Add(1)) }

// Request sends one request on a new connection to an entry host.
func (r *Rig) Request(edge *Host, method, path string, object int) Sent {
	s := Sent{ID: NextID(), At: time.Now(), Edge: edge.Name}
	r.Record.Line("client sends %s %s as %s to %s", method, path, s.ID, edge.Name)
	s.Status, s.Body = exchange(edge.Front, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path, HostName, s.ID, object))
	r.Record.Line("client gets %d for %s", s.Status, s.ID)
	return s
}

// exchange sends bytes and reads one response.
func exchange(address, request string) (int, string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, ""
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(body)
}
