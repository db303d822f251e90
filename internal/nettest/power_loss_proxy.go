package nettest

import (
	"net"
	"sync"
	"testing"
)

// PowerLossProxy is a TCP proxy that simulates a host losing power. PowerCycle
// leaves the open connections half-open, as after a restart of the host: the
// caller's side sees no close, and the first bytes sent on it are answered by a
// reset. New connections work.
type PowerLossProxy struct {
	address string
	target  string
	mu      sync.Mutex
	open    []*proxiedConn
	ended   bool // the test has ended
}

// proxiedConn is a connection through the proxy.
type proxiedConn struct {
	client    *net.TCPConn
	host      net.Conn
	mu        sync.Mutex
	powerLost bool
}

// NewPowerLossProxy proxies connections to target until the test ends.
func NewPowerLossProxy(t testing.TB, target string) *PowerLossProxy {
	t.Helper()
	l := Listen(t)
	p := &PowerLossProxy{address: l.Addr().String(), target: target}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { p.proxy(t, conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		p.ended = true
		for _, c := range p.open {
			_, _ = c.client.Close(), c.host.Close()
		}
		p.mu.Unlock()
		wg.Wait()
	})
	return p
}

// Address returns the IP:port under which callers reach the host.
func (p *PowerLossProxy) Address() string { return p.address }

// proxy connects to the host and forwards bytes until both directions have ended.
func (p *PowerLossProxy) proxy(t testing.TB, client *net.TCPConn) {
	host, err := net.Dial("tcp", p.target)
	if err != nil {
		t.Error(err)
		return
	}
	c := &proxiedConn{client: client, host: host}
	p.mu.Lock()
	p.open = append(p.open, c)
	if p.ended {
		_, _ = client.Close(), host.Close()
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(client, host) })
	c.copy(host, client)
	wg.Wait()
}

// copy forwards bytes until the connection is closed or the host loses power.
// After a loss of power the client's side stays open until it sends bytes or closes.
func (c *proxiedConn) copy(to, from net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if c.hasLostPower() && from == c.host {
			return
		}
		if err != nil || c.hasLostPower() {
			_ = c.client.SetLinger(0) // Close sends a reset
			_, _ = c.client.Close(), c.host.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *proxiedConn) hasLostPower() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.powerLost
}

// PowerCycle simulates that the host loses its power and is restarted at once.
func (p *PowerLossProxy) PowerCycle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.mu.Lock()
		c.powerLost = true
		c.mu.Unlock()
		_ = c.host.Close()
	}
}
