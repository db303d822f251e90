package faults

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay is a TCP proxy in front of the peer port of one host. While the network blocks
// a direction, the relay silently holds back bytes and new connections, as in a
// partition.
type relay struct {
	listener net.Listener
	target   string // address that connections are forwarded to
	network  *network
	host     string // name of the host behind the relay
	ended    sync.WaitGroup
}

// network controls which hosts can reach each other.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond                 // blocked or closed has changed
	byIP    map[string]string          // host by source IP
	blocked map[string]map[string]bool // by sending and receiving host
	closed  bool
}

func newNetwork() *network {
	n := &network{byIP: map[string]string{}, blocked: map[string]map[string]bool{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// assignIP records the host that connections from an IP belong to.
func (n *network) assignIP(ip, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byIP[ip] = host
}

// cut blocks bytes from one host to another until heal.
func (n *network) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[from] == nil {
		n.blocked[from] = map[string]bool{}
	}
	n.blocked[from][to] = true
}

// isolate blocks all bytes between the hosts inside and the hosts outside, in both
// directions.
func (n *network) isolate(inside, outside []string) {
	for _, a := range inside {
		for _, b := range outside {
			n.cut(a, b)
			n.cut(b, a)
		}
	}
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[string]map[string]bool{}
	n.changed.Broadcast()
}

// close releases all waits for a cut at the end of the test.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.changed.Broadcast()
}

// waitUntilOpen waits until bytes may pass from one host to another. It returns false
// if the test has ended.
func (n *network) waitUntilOpen(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[from][to] && !n.closed {
		n.changed.Wait()
	}
	return !n.closed
}

// startRelay starts a relay for a host that forwards from listen to target until the
// test ends.
func startRelay(t *testing.T, n *network, host, listen, target string) {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, network: n, host: host}
	r.ended.Go(r.accept)
	t.Cleanup(func() {
		n.close()
		_ = l.Close()
		r.ended.Wait()
	})
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		ip := c.RemoteAddr().(*net.TCPAddr).IP.String()
		r.network.mu.Lock()
		from := r.network.byIP[ip]
		r.network.mu.Unlock()
		go r.proxy(c, from)
	}
}

// proxy connects to the host behind the relay and forwards bytes in both directions
// until one of them ends.
func (r *relay) proxy(in net.Conn, from string) {
	defer func() { _ = in.Close() }()
	if !r.network.waitUntilOpen(from, r.host) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go func() { r.copy(out, in, from, r.host); done <- struct{}{} }()
	go func() { r.copy(in, out, r.host, from); done <- struct{}{} }()
	<-done
}

// copy forwards bytes sent by host from to host to, while the network lets them pass.
func (r *relay) copy(dst io.Writer, src io.Reader, from, to string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !r.network.waitUntilOpen(from, to) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
