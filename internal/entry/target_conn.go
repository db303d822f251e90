package entry

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Reasons for which a connection refuses the first byte of an attempt.
var (
	errSealed        = errors.New("connection was closed before the request was sent")
	errStray         = errors.New("the target sent bytes that no request asked for")
	errPermitExpired = errors.New("the permit ran out before the request was sent")
)

// targetConn is a connection to a target. It knows whether a byte of the
// current attempt was sent, so that "nothing was sent" is a fact, and it pays
// for bytes to and from other regions.
type targetConn struct {
	net.Conn
	linkLimiter *linkLimiter // nil within the own region

	mu              sync.Mutex
	usable          func() bool // permit of the current attempt
	started         bool        // a byte of the current attempt was handed to the kernel
	sealed          error       // set once no further byte may be sent
	received        int64       // bytes read since the connection was opened
	hasEchoed       bool        // the target named the attempt in an earlier response
	receivedAtBegin int64       // value of received when the current attempt began
}

// begin assigns the connection to an attempt.
func (c *targetConn) begin(usable func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable, c.started, c.receivedAtBegin = usable, false, c.received
}

// seal forbids further bytes, closes the connection and reports whether a byte of the attempt was sent.
func (c *targetConn) seal() (sent bool) {
	c.mu.Lock()
	if c.sealed == nil {
		c.sealed = errSealed
	}
	sent = c.started
	c.mu.Unlock()
	c.Close()
	return sent
}

// receivedStray reports whether a response cannot belong to the current attempt: its
// bytes came before the attempt sent its first or were read during an earlier one.
func (c *targetConn) receivedStray() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.started || c.received == c.receivedAtBegin
}

// echoed records whether a response named its attempt. It reports whether a
// response without a name is suspect, since the target named earlier ones.
func (c *targetConn) echoed(named bool) (suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspect = c.hasEchoed && !named
	c.hasEchoed = c.hasEchoed || named
	return suspect
}

// checkWrite decides on a write. The permit is checked at the last moment, because
// a process may be frozen between the grant and the first byte.
func (c *targetConn) checkWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed != nil {
		return c.sealed
	}
	if c.started {
		return nil
	}
	switch {
	case c.received != c.receivedAtBegin:
		c.sealed = errStray
	case c.usable != nil && !c.usable():
		c.sealed = errPermitExpired
	default:
		c.started = true
	}
	return c.sealed
}

// Write pays for and sends p.
func (c *targetConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:]
		if c.linkLimiter != nil {
			chunk = chunk[:min(len(chunk), c.linkLimiter.chunk(traffic.Outbound))]
			if err := c.linkLimiter.waitOutbound(len(chunk)); err != nil {
				return written, err
			}
		}
		if err := c.checkWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadFrom sends a body through a pooled buffer. Without it, net/http
// allocates a buffer of 32 KB for each body.
func (c *targetConn) ReadFrom(r io.Reader) (int64, error) {
	buf := takeBuffer()
	defer giveBuffer(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, r, *buf)
}

// Read pays for and receives into p.
func (c *targetConn) Read(p []byte) (int, error) {
	if c.linkLimiter != nil {
		n, err := c.linkLimiter.waitInbound(len(p))
		if err != nil {
			return 0, err
		}
		p = p[:n]
	}
	n, err := c.Conn.Read(p)
	if c.linkLimiter != nil {
		c.linkLimiter.consume(n)
	}
	c.mu.Lock()
	c.received += int64(n)
	c.mu.Unlock()
	return n, err
}

// Close closes the connection and ends a wait for link share.
func (c *targetConn) Close() error {
	if c.linkLimiter != nil {
		c.linkLimiter.cancel()
	}
	return c.Conn.Close()
}
