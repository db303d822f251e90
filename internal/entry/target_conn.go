package entry

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Errors with which targetConn.Write refuses to send a byte.
var (
	errSealed        = errors.New("connection was closed before the request was sent")
	errStray         = errors.New("the target sent bytes that no request asked for")
	errPermitExpired = errors.New("the permit ran out before the request was sent")
)

// targetConn is a connection to a target. It tracks whether a byte of the
// current attempt was sent, so that a request is reported as not sent only if
// that is certain. Traffic with other regions waits for link share.
type targetConn struct {
	net.Conn
	linkLimiter *linkLimiter // nil for targets of the host's own region

	mu              sync.Mutex
	heads           hop.HeadStream
	usable          func() bool // reports whether the permit of the current attempt is valid
	started         bool        // a byte of the current attempt was handed to the kernel
	sealed          error       // error of all further writes; nil while they are allowed
	received        int64       // bytes read since the connection was opened
	hasEchoed       bool        // an earlier response on this connection named its attempt
	receivedAtBegin int64       // value of received when the current attempt began
}

// begin assigns the connection to a new attempt. usable reports whether its
// permit is valid.
func (c *targetConn) begin(usable func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable, c.started, c.receivedAtBegin = usable, false, c.received
	c.heads.Expect()
}

// seal makes all further writes fail, closes the connection and reports whether
// a byte of the current attempt was sent.
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

// receivedStray reports whether a response cannot belong to the current
// attempt, because it arrived before the attempt's first byte was sent or was
// read during an earlier attempt.
func (c *targetConn) receivedStray() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.started || c.received == c.receivedAtBegin
}

// echoed records whether a response named its attempt. A response without the
// name is suspect if earlier ones on the connection had it.
func (c *targetConn) echoed(named bool) (suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspect = c.hasEchoed && !named
	c.hasEchoed = c.hasEchoed || named
	return suspect
}

// checkWrite returns an error if nothing may be sent. The permit is checked
// immediately before the first byte, because the process may have been frozen
// since the permit was granted.
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

// Write sends p. To another region, it waits for link share before each chunk.
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

// Read receives into p. From another region, it first waits for link share.
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
	defer c.mu.Unlock()
	c.received += int64(n)
	if headErr := c.heads.Add(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Close closes the connection and ends a wait for link share.
func (c *targetConn) Close() error {
	if c.linkLimiter != nil {
		c.linkLimiter.cancel()
	}
	return c.Conn.Close()
}

// singleHeaders are the headers that decide what a target's answer is.
var singleHeaders = []string{HeaderAttempt, HeaderShed}

// newTargetConn returns a connection to a target. limiter is nil within the own region.
func newTargetConn(conn net.Conn, limiter *linkLimiter) *targetConn {
	return &targetConn{Conn: conn, linkLimiter: limiter, heads: hop.HeadStream{Checker: hop.HeadChecker{Single: singleHeaders}}}
}
