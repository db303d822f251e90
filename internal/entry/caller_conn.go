package entry

import (
	"errors"
	"net"
	"os"
	"time"
)

// callerListener accepts connections of callers and wraps them in callerConn.
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

// callerConn fails writes to a caller that accepts no byte for the duration
// stall. A caller that vanished would otherwise hold its slot until TCP gives up,
// which takes about 15 minutes. Slow callers are not affected.
type callerConn struct {
	net.Conn
	stall time.Duration
}

// Write sends p. It fails and has the connection reset once the caller has
// accepted no byte for the duration stall.
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
