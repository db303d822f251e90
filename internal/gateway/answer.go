package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeAnswers sends the answers in the order of the requests. It returns once
// the queue is closed and empty.
func (c *callerConn) writeAnswers() {
	failed := false
	for x := range c.queue {
		select {
		case r := <-x.answer:
			if !failed && !c.writeAnswer(x, r) {
				failed = true
				c.abort()
			}
			if r.finish != nil {
				r.finish()
			}
		case <-x.ctx.Done():
			// The caller has left. The handler ends on its own.
			failed = true
			c.abort()
			go discard(x)
		}
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
		c.pipeline.finish(x.number)
		close(x.done)
		x.cancel()
	}
}

// discard waits for the answer of an abandoned request and releases the
// connection to the target that it may hold.
func discard(x *exchange) {
	if x.refused {
		return
	}
	if r := <-x.answer; r.finish != nil {
		r.finish()
	}
}

// abort accepts no further requests, cancels those in flight and closes the
// connection, which stops the reader.
func (c *callerConn) abort() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.conn.Close()
}

// writeAnswer sends one answer. It reports whether the connection stays open for
// further answers.
func (c *callerConn) writeAnswer(x *exchange, r *reply) bool {
	last := c.decideClose(x, r)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := c.write(x, r, last)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return false
	}
	if last {
		c.linger()
	}
	return !last
}

// decideClose reports whether this is the last answer on the connection, and if
// so accepts no further requests.
func (c *callerConn) decideClose(x *exchange, r *reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := x.request != nil && x.request.Close
	stopping := c.gateway.stopping() && c.pending == 1
	if r.close || asked || stopping {
		c.closing = true
		return true
	}
	return false
}

// linger closes the sending side and leaves the reader up to lingerTime for bytes
// that the caller still sends: closing with unread bytes would reset the connection.
func (c *callerConn) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	select {
	case <-c.ctx.Done():
	case <-time.After(lingerTime):
	}
}

// write writes the status line, the headers and the body without a final flush.
// It marks the last answer of a connection with Connection: close.
func (c *callerConn) write(x *exchange, r *reply, last bool) error {
	chunked := r.length < 0
	head := x.request != nil && x.request.Method == http.MethodHead
	bodyless := head || r.status == http.StatusNoContent || r.status == http.StatusNotModified
	if _, err := fmt.Fprintf(c.writer, "HTTP/1.1 %03d %s\r\n", r.status, http.StatusText(r.status)); err != nil {
		return err
	}
	switch {
	case chunked && !bodyless:
		r.header.Set("Transfer-Encoding", "chunked")
	case !chunked && (r.status != http.StatusNoContent):
		r.header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	if last {
		r.header.Set("Connection", "close")
	}
	if err := r.header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.WriteString("\r\n"); err != nil {
		return err
	}
	if bodyless {
		return nil
	}
	if chunked {
		return c.writeChunks(r)
	}
	return c.writePlain(r)
}

// writePlain writes a body of known length. It fails if the target sends more or
// fewer bytes than it announced.
func (c *callerConn) writePlain(r *reply) error {
	if _, err := c.writer.Write(r.body); err != nil {
		return err
	}
	left := r.length - int64(len(r.body))
	if r.rest == nil || left <= 0 {
		return nil
	}
	return c.copyRest(r.rest, func(p []byte) error {
		left -= int64(len(p))
		if left < 0 {
			return fmt.Errorf("the target sent %d bytes more than its content length", -left)
		}
		_, err := c.writer.Write(p)
		return err
	}, func() error {
		if left != 0 {
			return io.ErrUnexpectedEOF
		}
		return nil
	})
}

// writeChunks writes a body of unknown length with the chunked transfer coding.
func (c *callerConn) writeChunks(r *reply) error {
	chunk := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		if _, err := fmt.Fprintf(c.writer, "%x\r\n", len(p)); err != nil {
			return err
		}
		if _, err := c.writer.Write(p); err != nil {
			return err
		}
		_, err := c.writer.WriteString("\r\n")
		return err
	}
	if err := chunk(r.body); err != nil {
		return err
	}
	if r.rest != nil {
		if err := c.copyRest(r.rest, chunk, func() error { return nil }); err != nil {
			return err
		}
	}
	_, err := c.writer.WriteString("0\r\n\r\n")
	return err
}

// copyRest passes each read of a streamed body to take and flushes it to the
// caller at once. At the end of the body it returns the result of atEnd.
func (c *callerConn) copyRest(rest io.Reader, take func([]byte) error, atEnd func() error) error {
	buffer := make([]byte, callerBuffer)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := take(buffer[:n]); err != nil {
				return err
			}
			if err := c.writer.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return atEnd()
		}
		if err != nil {
			return err
		}
	}
}
