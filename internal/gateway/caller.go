package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

const (
	// readAhead bounds the requests of one connection that are at work or wait.
	readAhead    = 32
	callerBuffer = 8 << 10
	// writeTimeout bounds the time that a caller takes none of an answer's bytes.
	writeTimeout = 20 * time.Second
	// lingerTime is how long a closed connection is read on, so that unread
	// bytes do not reset it before the caller has the last answer.
	lingerTime = 500 * time.Millisecond

	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
)

// callerConn is one connection of a callerConn.
type callerConn struct {
	gateway *Gateway
	conn    net.Conn
	limiter *hop.HeadLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	ctx     context.Context
	cancel  context.CancelFunc
	queue   chan *exchange

	mu       sync.Mutex
	pending  int  // accepted and not answered
	closing  bool // no further request is accepted
	lastDone chan struct{}
}

func newCallerConn(g *Gateway, conn net.Conn) *callerConn {
	ctx, cancel := context.WithCancel(context.Background())
	limiter := hop.NewHeadLimiter(conn)
	first := make(chan struct{})
	close(first)
	return &callerConn{
		gateway: g, conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, callerBuffer),
		writer: bufio.NewWriterSize(conn, callerBuffer), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, readAhead), lastDone: first,
	}
}

// serve handles the connection until it ends.
func (c *callerConn) serve() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeAnswers()
	}()
	c.readRequests()
	close(c.queue)
	<-done
	c.cancel()
	_ = c.conn.Close()
}

// readRequests accepts requests until the caller leaves or the connection is closing.
func (c *callerConn) readRequests() {
	for {
		request, err := c.readRequest()
		if err != nil {
			c.readFailed(err)
			return
		}
		x := c.prepare(request)
		if !c.accept(x) {
			return // not read, as far as the caller is concerned
		}
		c.queue <- x
		if !x.refused {
			go c.gateway.handle(x)
		}
		select {
		case <-x.body.done:
		case <-c.ctx.Done():
			return
		}
		if request.Close || x.body.unread() {
			c.awaitEnd()
			return
		}
	}
}

// awaitEnd reads on only to notice that the caller leaves.
func (c *callerConn) awaitEnd() {
	_ = c.conn.SetReadDeadline(time.Time{})
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			c.inputEnded(err)
			return
		}
	}
}

// readFailed ends the connection after an error of reading.
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

func isBadRequest(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	var network net.Error
	var closed *net.OpError
	return !errors.As(err, &network) && !errors.As(err, &closed) && !errors.Is(err, net.ErrClosed)
}

// inputEnded ends all work if the caller has gone. A connection that is merely idle,
// or that this side has closed, goes on to deliver what is at work.
func (c *callerConn) inputEnded(err error) {
	if hop.IsTimeout(err) {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		return
	}
	c.cancel()
}

// readRequest waits for a request and reads its header.
func (c *callerConn) readRequest() (*http.Request, error) {
	idle, header, size := c.limits()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := c.reader.Peek(1); err == nil {
			break
		} else if !hop.IsTimeout(err) || !c.busy() {
			return nil, err
		}
		// The connection is not idle while an answer is due.
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(header))
	c.limiter.Allow(size + callerBuffer)
	request, err := http.ReadRequest(c.reader)
	c.limiter.Unlimited()
	_ = c.conn.SetReadDeadline(time.Time{})
	return request, err
}

func (c *callerConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

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

// prepare reads the body as far as it is held in memory.
func (c *callerConn) prepare(request *http.Request) *exchange {
	x := &exchange{request: request, received: c.gateway.now(), answer: make(chan *reply, 1)}
	x.call = c.gateway.config.Codec.Call(request.Header)
	x.ctx, x.cancel = context.WithCancel(c.ctx)
	var limit int64
	if p := c.gateway.view.current(); p != nil {
		limit = p.Limits.BodyBytes
	}
	if request.Header.Get("Expect") != "" && !c.busy() {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a failure shows when the body is read
	}
	body, err := readBody(request, limit)
	x.body = body
	if err != nil {
		problem := newReply(http.StatusBadRequest, "the request body cannot be read")
		if errors.Is(err, errBodyTooLarge) {
			problem = newReply(http.StatusRequestEntityTooLarge, "the request body is too large")
		}
		problem.close = true
		x.answer <- problem
		x.refused = true
		request.Close = true
		if !errors.Is(err, errBodyTooLarge) && !isBadRequest(err) {
			c.cancel()
		}
	}
	return x
}

// accept adds an exchange unless the connection is closing.
func (c *callerConn) accept(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		x.cancel()
		return false
	}
	c.pending++
	x.previousDone = c.lastDone
	x.done = make(chan struct{})
	c.lastDone = x.done
	return true
}
