package nettest

import (
	"net"
	"sync"
)

// CutMode is how a Target treats the connections of a host that it is cut off from.
type CutMode int

// Modes of a cut.
const (
	Connected CutMode = iota
	Reset             // connections are reset
	Hang              // connections are open, but nothing passes on them
	RefuseNew         // open connections live on, new ones are reset
)

// cuts holds the hosts that a Target is cut off from, and its open connections.
type cuts struct {
	mu      sync.Mutex
	changed *sync.Cond
	modes   map[string]CutMode // by IP of the host
	open    map[*cutConn]bool
}

func newCuts() *cuts {
	c := &cuts{modes: map[string]CutMode{}, open: map[*cutConn]bool{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// AllowCuts prepares the target for Cut. Call it before the first connection.
func (t *Target) AllowCuts() { t.cuts.Store(newCuts()) }

// Cut cuts the target off from the host with an IP, or connects them again.
func (t *Target) Cut(ip string, m CutMode) {
	c := t.cuts.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.modes[ip] = m
	for conn := range c.open {
		if conn.ip == ip && m == Reset {
			conn.reset()
		}
	}
	c.changed.Broadcast()
}

// admit returns a new connection, or nil after it has reset the connection.
func (c *cuts) admit(conn net.Conn) net.Conn {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wrapped := &cutConn{Conn: conn, cuts: c, ip: ip}
	if m := c.modes[ip]; m == Reset || m == RefuseNew {
		wrapped.reset()
		return nil
	}
	c.open[wrapped] = true
	return wrapped
}

// cutConn is a connection that may be cut.
type cutConn struct {
	net.Conn
	cuts *cuts
	ip   string
	once sync.Once
	done bool
}

func (c *cutConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closing resets
	}
	_ = c.Conn.Close()
}

// await returns once the connection does not hang, or is closed.
func (c *cutConn) await() {
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	for c.cuts.modes[c.ip] == Hang && !c.done {
		c.cuts.changed.Wait()
	}
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.await()
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.await()
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() {
		c.cuts.mu.Lock()
		defer c.cuts.mu.Unlock()
		c.done = true
		delete(c.cuts.open, c)
		c.cuts.changed.Broadcast()
	})
	return c.Conn.Close()
}
