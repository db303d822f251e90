package hop

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrExchangeEnded is returned for a read or write on an exchange that has ended.
var ErrExchangeEnded = errors.New("the connection no longer belongs to the request")

// Exchange is the use of a connection by one request, from Conn.Begin to Pool.Release or
// Abort. Everything that writes, reads or waits for the request goes through its exchange,
// and gets nothing but ErrExchangeEnded once that has ended. So a goroutine that outlives
// its request cannot touch the next one on the connection.
type Exchange struct {
	conn      *Conn
	request   *http.Request
	id        string
	fresh     bool
	results   chan Result
	asked     chan struct{} // set by HoldBody
	body      exchangeBody  // of the response
	keepAlive time.Duration

	// The fields below are guarded by conn.mu.

	sent     bool // the whole request was written
	held     bool // the body is written only if the other side asks for it
	wasAsked bool // the other side has asked for the body
	answered bool // the read loop waits until the response is read
	last     bool // the other side closes the connection after the response
	read     bool // the response was read to its end
}

// Results returns the channel on which the response or its error arrives, once.
func (e *Exchange) Results() <-chan Result { return e.results }

// Asked returns a channel that receives a value when the other side asks for the body that
// HoldBody has announced.
func (e *Exchange) Asked() <-chan struct{} { return e.asked }

// Fresh reports whether no earlier request was sent on the connection.
func (e *Exchange) Fresh() bool { return e.fresh }

// Address returns the address of the other side.
func (e *Exchange) Address() string { return e.conn.to.Address }

// SetKeepAlive sets the idle time after which the other side closes the connection.
func (e *Exchange) SetKeepAlive(d time.Duration) { e.keepAlive = d }

// SetWriteDeadline limits later writes of the request. Its error is ignored: if the
// connection has ended, the next write fails.
func (e *Exchange) SetWriteDeadline(t time.Time) {
	u := e.conn
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.exchange == e {
		_ = u.conn.SetWriteDeadline(t)
	}
}

// Write sends bytes of the request.
func (e *Exchange) Write(p []byte) (int, error) {
	u := e.conn
	u.writeMu.Lock()
	defer u.writeMu.Unlock()
	if !e.current() {
		return 0, ErrExchangeEnded
	}
	n, err := u.conn.Write(p)
	if err != nil && u.writeErr == nil {
		u.writeErr = err
	}
	return n, err
}

// MarkSent records that the whole request was written.
func (e *Exchange) MarkSent() {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	e.sent = true
}

// HoldBody records that the body of the request is written only if the other side asks for
// it, with status 100. A response without that leaves the connection free of the request.
// Call it before the head of the request is written.
func (e *Exchange) HoldBody() {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	e.held, e.asked = true, make(chan struct{}, 1)
}

// Close ends the connection if it still belongs to the request, which then ends with an
// error. The exchange has to be released or aborted all the same.
func (e *Exchange) Close() {
	u := e.conn
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.exchange == e {
		u.dead = true
		_ = u.conn.Close() // under the lock, so that the connection is not passed on meanwhile
	}
}

// Abort ends the exchange and its connection.
func (e *Exchange) Abort() {
	if _, ended := e.end(false); ended {
		e.conn.Close()
	}
}

// current reports whether the connection belongs to the request.
func (e *Exchange) current() bool {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	return e.conn.exchange == e
}

// end takes the connection from the request and tells the read loop. clean reports whether
// keep is set and nothing of the request can follow on the connection: it was written and
// its response was read, both to the end. ended is false if the exchange had ended before.
func (e *Exchange) end(keep bool) (clean, ended bool) {
	u := e.conn
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.exchange != e {
		return false, false
	}
	u.exchange = nil
	written := e.sent || e.held && !e.wasAsked
	clean = keep && written && e.read && !e.last && !u.dead && len(u.refused) < maxRefusals
	u.dead = u.dead || !clean
	u.fresh = false
	if e.answered {
		u.resume <- clean // received by the read loop, once for each response
	}
	return clean, true
}

// deliver passes the result on. It reports whether the read loop has to wait until the
// response is read.
func (e *Exchange) deliver(r Result) (wait bool) {
	u := e.conn
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.exchange != e {
		return false
	}
	if r.Err == nil {
		u.answers++
		e.answered, e.last, e.read = true, r.Response.Close, r.Response.Body == http.NoBody
		e.body = exchangeBody{ReadCloser: r.Response.Body, exchange: e}
		r.Response.Body = &e.body
		if r.Answer.NotExecuted {
			u.refused = append(u.refused, e.id)
		}
	}
	e.results <- r
	return e.answered
}

// askForBody records that the other side asks for the body.
func (e *Exchange) askForBody() {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	e.wasAsked = true
	select {
	case e.asked <- struct{}{}:
	default:
	}
}

// exchangeBody is the body of a response. It records its end.
type exchangeBody struct {
	io.ReadCloser
	exchange *Exchange
}

func (b *exchangeBody) Read(p []byte) (int, error) {
	if !b.exchange.current() {
		return 0, ErrExchangeEnded
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.conn.mu.Lock()
		b.exchange.read = true
		b.exchange.conn.mu.Unlock()
	}
	return n, err
}
