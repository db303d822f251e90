package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

const (
	// readAhead bounds the pipelined requests of one connection that are in flight
	// or wait.
	readAhead    = 32
	callerBuffer = 8 << 10 // bytes
	// writeTimeout bounds each write to a caller that does not read its answer.
	writeTimeout = 20 * time.Second
	// lingerTime is how long the gateway keeps reading after it has closed its
	// sending side: unread bytes would reset the connection before the caller has
	// the last answer.
	lingerTime = 500 * time.Millisecond

	// Limits that apply until a policy sets others.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10 // bytes
)

// callerConn is one connection of a caller. One goroutine reads the requests and
// another writes the answers in order; each request has its own handler.
type callerConn struct {
	gateway  *Gateway
	conn     net.Conn
	limiter  *hop.HeadLimiter
	reader   *bufio.Reader
	writer   *bufio.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	queue    chan *exchange
	pipeline *pipeline

	mu       sync.Mutex
	accepted uint64 // number of requests accepted so far
	pending  int    // of these, the ones not yet answered
	closing  bool   // no further request is accepted
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
		queue: make(chan *exchange, readAhead), pipeline: newPipeline(), lastDone: first,
	}
}

// serve handles the connection until it ends.
func (c *callerConn) serve() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer c.endOnPanic("writing answers")
		c.writeAnswers()
	}()
	c.readRequests()
	close(c.queue)
	<-done
	c.cancel()
	_ = c.conn.Close()
}

// readRequests reads requests and starts their handlers until the caller leaves or
// the connection is closing. It reads the next request once the body of the last
// one has been read.
func (c *callerConn) readRequests() {
	defer c.endOnPanic("reading requests")
	for {
		request, err := c.readRequest()
		if err != nil {
			c.readFailed(err)
			return
		}
		x := c.prepare(request)
		if !c.accept(x) {
			return // the connection is closing: the caller treats this request as not handled
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

// awaitEnd discards what the caller still sends until the connection ends, to
// notice that the caller leaves.
func (c *callerConn) awaitEnd() {
	_ = c.conn.SetReadDeadline(time.Time{})
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			c.inputEnded(err)
			return
		}
	}
}

// prepare creates the exchange of a request and buffers the start of its body. If
// the body cannot be read, the exchange already holds its answer.
func (c *callerConn) prepare(request *http.Request) *exchange {
	x := &exchange{request: request, received: c.gateway.now(), answer: make(chan *reply, 1)}
	x.call = c.gateway.config.Codec.Call(request.Header)
	x.ctx, x.cancel = context.WithCancel(c.ctx)
	var limit int64
	if p := c.gateway.view.current(); p != nil {
		limit = p.Limits.BodyBytes
	}
	if request.Header.Get("Expect") != "" && !c.busy() {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a write error shows up when the body is read
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

// accept registers an exchange as pending. It cancels the exchange and returns
// false if the connection is closing.
func (c *callerConn) accept(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		x.cancel()
		return false
	}
	c.pending++
	c.accepted++
	x.pipeline, x.number = c.pipeline, c.accepted
	x.previousDone = c.lastDone
	x.done = make(chan struct{})
	c.lastDone = x.done
	return true
}
