package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// fault is a fault that a relay injects into its connections.
type fault int

const (
	noFault    fault = iota
	delayed          // bytes are forwarded late
	blackholed       // bytes are held back in both directions
	oneWay           // bytes from the far side are held back
	resets           // each open connection is reset with probability 1/2 when the fault is set
	refused          // new connections are reset, open ones live on
)

// relay is a TCP proxy to one address that injects faults.
type relay struct {
	listener net.Listener
	far      string // address that connections are forwarded to

	mu     sync.Mutex
	random *rand.Rand
	fault  fault
	conns  map[net.Conn]bool
	cuts   map[string]fault // by IP of the near side: hosts that are cut off from the far side
}

func newRelay(far string, seed uint64) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, far: far, random: rand.New(rand.NewPCG(seed, 1)), conns: map[net.Conn]bool{}, cuts: map[string]fault{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setFault replaces the fault in force.
func (r *relay) setFault(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if f != resets {
		return
	}
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok && r.random.IntN(2) == 0 {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// cut cuts a host off from the far side: its connections are reset, blackholed or refused.
// noFault ends that.
func (r *relay) cut(ip string, f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[ip] = f
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok && f == resets && hostOf(c) == ip {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// cutOf returns how the host at the near side of a connection is cut off.
func (r *relay) cutOf(near net.Conn) fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[hostOf(near)]
}

// hostOf returns the IP of the remote side of a connection.
func hostOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // TCP addresses have this form
	return host
}

func (r *relay) currentFault() fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.proxy(near)
	}
}

// proxy connects to the far side and forwards bytes in both directions until both end.
func (r *relay) proxy(near net.Conn) {
	if f := r.cutOf(near); f == resets || f == refused {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset
		}
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", r.far)
	if err != nil {
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.conns[near], r.conns[far] = true, true
	r.mu.Unlock()
	var wg sync.WaitGroup
	held := func() bool { return r.cutOf(near) == blackholed }
	wg.Go(func() { r.copy(far, near, false, held) })
	wg.Go(func() { r.copy(near, far, true, held) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, near)
	delete(r.conns, far)
	r.mu.Unlock()
}

// copy forwards bytes until one of the connections ends; fromFar says that they come
// from the far side, held that the near side is cut off. An end of from is forwarded as a
// close, an error as a reset.
func (r *relay) copy(to, from net.Conn, fromFar bool, held func() bool) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		for f := r.currentFault(); f == blackholed || f == oneWay && fromFar || held(); f = r.currentFault() {
			time.Sleep(5 * time.Millisecond)
		}
		if r.currentFault() == delayed {
			time.Sleep(50 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Close sends a reset
			}
			return
		}
	}
}

// close stops the relay and closes its connections.
func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
