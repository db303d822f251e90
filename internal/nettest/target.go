package nettest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
)

// Script writes the response to a request on its connection. The request's body
// has been read and is in the header "Body".
type Script func(t *Target, conn net.Conn, r *http.Request)

// Target is a target that passes each request to a script.
type Target struct {
	Name         string // for use by tests, the target itself ignores it
	Script       Script // must not change after the first request
	listener     net.Listener
	disconnected chan struct{}
	cuts         atomic.Pointer[cuts] // nil unless the target can be cut off

	mu       sync.Mutex
	requests []*http.Request
	accepted int
}

// StartTarget starts a target that runs until the test ends.
func StartTarget(t testing.TB, script Script) *Target {
	t.Helper()
	target := &Target{Script: script, listener: Listen(t), disconnected: make(chan struct{}, 1)}
	t.Cleanup(target.Close)
	go target.accept()
	return target
}

// Address returns the IP:port that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close stops accepting connections; open ones continue.
func (t *Target) Close() { _ = t.listener.Close() }

// Requests returns the requests read so far.
func (t *Target) Requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.requests)
}

// Accepted returns the number of connections accepted so far.
func (t *Target) Accepted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted
}

// Disconnected returns a channel that receives a value when a connection ends.
// It holds one value: ends that nobody has received yet count as one.
func (t *Target) Disconnected() <-chan struct{} { return t.disconnected }

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.accepted++
		t.mu.Unlock()
		if c := t.cuts.Load(); c != nil {
			conn = c.admit(conn)
		}
		if conn != nil {
			go t.serve(conn)
		}
	}
}

// serve passes the requests on a connection to the script until the connection ends.
func (t *Target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		select {
		case t.disconnected <- struct{}{}:
		default:
		}
	}()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Header.Set("Body", string(body))
		t.mu.Lock()
		t.requests = append(t.requests, r)
		t.mu.Unlock()
		t.Script(t, conn, r)
	}
}
