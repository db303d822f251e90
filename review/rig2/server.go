package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a server: it serves one request at a time on a connection, and
// sends heartbeats to the core machines.
type server struct {
	rig                     *rig
	id, service, zone, addr string
	// handle writes the answer to a request. It returns false to close the connection.
	handle func(s *server, w net.Conn, request *http.Request) bool

	listener net.Listener
	born     int64
	sequence atomic.Uint64
	stopped  atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// startServer starts a server in a zone and waits until a heartbeat is acknowledged.
func (r *rig) startServer(id, service, zone string, number int, handle func(*server, net.Conn, *http.Request) bool) (*server, error) {
	s := &server{rig: r, id: id, service: service, zone: zone, addr: fmt.Sprintf("%s.1.%d:%d", r.network, number, portServer),
		handle: handle, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	var err error
	if s.listener, err = net.Listen("tcp", s.addr); err != nil {
		return nil, err
	}
	go s.serve()
	deadline := time.Now().Add(10 * time.Second)
	for !s.beat("ready") {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("no heartbeat of %s was acknowledged", id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	go func() {
		for !s.stopped.Load() {
			time.Sleep(heartbeat)
			s.beat("ready")
		}
	}()
	return s, nil
}

// beat sends one heartbeat, to one core machine after another until it is acknowledged.
func (s *server) beat(state string) bool {
	body, err := json.Marshal(map[string]any{"Service": s.service, "Address": s.addr, "Zone": s.zone, "Version": "v1",
		"Slots": 8, "State": state, "ColdRemainingS": 0, "Sequence": s.sequence.Add(1), "born": s.born})
	if err != nil {
		return false
	}
	for _, n := range s.rig.cores() {
		if status, _ := call(n, http.MethodPut, "/v1/instances/"+s.id, body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// serve accepts connections until the server stops.
func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if wanted := request.Header.Get("Expect-Instance"); wanted != "" && wanted != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"))
			continue
		}
		if !s.handle(s, conn, request) {
			return
		}
	}
}

// head returns the head of a signed answer with a body of a size.
func head(request *http.Request, size int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%d\r\nContent-Length: %d\r\n\r\n",
		request.Header.Get("Request-Id"), request.Header.Get("Request-Id"), size, size)
}

// body returns the body of an answer, which is the same for each request of a size.
func body(size int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size] }
