package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// readFailed ends the connection after a read error. If the request was malformed
// or its header too large, an answer that says so is queued first.
func (c *callerConn) readFailed(err error) {
	var problem *reply
	switch {
	case errors.Is(err, hop.ErrHeadTooLarge):
		problem = newReply(http.StatusRequestHeaderFieldsTooLarge, "the request header is too large")
	case isBadRequest(err):
		problem = newReply(http.StatusBadRequest, "the request cannot be read")
	default:
		c.inputEnded(err)
		return
	}
	c.gateway.log.Warn("request refused", "caller", c.conn.RemoteAddr(), "status", problem.status, "reason", err)
	problem.close = true
	x := &exchange{answer: make(chan *reply, 1), ctx: c.ctx, cancel: func() {}}
	x.answer <- problem
	if c.accept(x) {
		c.queue <- x
	}
}

// isBadRequest reports whether a read error means a malformed request rather than
// a failed or closed connection.
func isBadRequest(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	var network net.Error
	var closed *net.OpError
	return !errors.As(err, &network) && !errors.As(err, &closed) && !errors.Is(err, net.ErrClosed)
}

// inputEnded handles the end of what the caller sends. After a timeout the
// connection stays open for the answers to requests in flight; after any other
// error the caller has left and these requests are cancelled.
func (c *callerConn) inputEnded(err error) {
	if hop.IsTimeout(err) {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		return
	}
	c.cancel()
}

// readRequest waits for the next request and reads its header. The idle timeout
// applies to the wait, the header timeout to the header.
func (c *callerConn) readRequest() (*http.Request, error) {
	idle, header, size := c.limits()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := c.reader.Peek(1); err == nil {
			break
		} else if !hop.IsTimeout(err) || !c.busy() {
			return nil, err
		}
		// The idle timeout does not apply while answers are pending.
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(header))
	c.limiter.Allow(size + callerBuffer)
	request, err := http.ReadRequest(c.reader)
	c.limiter.RemoveLimit()
	_ = c.conn.SetReadDeadline(time.Time{})
	if err == nil {
		err = hop.CheckFields(request.Header)
	}
	return request, err
}

// busy reports whether answers are pending.
func (c *callerConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// limits returns the limits of the policy in force, and defaults for those that it
// does not set. size is the limit of a header in bytes.
func (c *callerConn) limits() (idle, header time.Duration, size int64) {
	idle, header, size = defaultIdleTimeout, defaultHeaderTimeout, int64(defaultHeaderBytes)
	if p := c.gateway.view.current(); p != nil {
		if p.Limits.IdleTimeout > 0 {
			idle = p.Limits.IdleTimeout
		}
		if p.Limits.HeaderTimeout > 0 {
			header = p.Limits.HeaderTimeout
		}
		if p.Limits.HeaderBytes > 0 {
			size = p.Limits.HeaderBytes
		}
	}
	return idle, header, size
}
