package entry

import (
	"errors"
	"net"
	"os"
	"time"
)

// callerListener wraps the connections of callers.
type callerListener struct {
	net.Listener
	stall time.Duration
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, stall: l.stall}, nil
}

// callerConn ends writes to a caller that accepts no byte for the stall limit.
// A caller that vanished would otherwise hold its slot until TCP gives up,
// which takes about 15 minutes. Slow callers are not affected.
type callerConn struct {
	net.Conn
	stall time.Duration
}

// Write sends p, for as long as some of it is accepted within each stall limit.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(c.stall))
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case err == nil:
			return written, nil
		case n > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			continue
		}
		c.reset() // net/http closes the connection next, which would look like the end of an HTTP/1.0 response
		return written, err
	}
}

// reset makes the next Close reset the connection.
func (c *callerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
