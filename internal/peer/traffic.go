package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on connections between processes of
// the system.
type Traffic struct {
	In  atomic.Int64 // bytes received
	Out atomic.Int64 // bytes sent
}

// Total returns the number of bytes in both directions.
func (t *Traffic) Total() int64 { return t.In.Load() + t.Out.Load() }

// countedConn counts the bytes of a connection in traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of accepted connections in traffic.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}
