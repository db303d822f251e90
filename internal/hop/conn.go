package hop

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// DialTimeout limits how long a new connection to a target may take to open.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout is the TCP_USER_TIMEOUT: a connection ends once sent data stays
	// unacknowledged by the target's host for this long.
	unackedTimeout = 700 * time.Millisecond
	// keepAliveIdle is the time without data after which a connection is probed. It ends
	// keepAliveInterval after a probe that stays unanswered: unackedTimeout has passed
	// by then, which decides, whatever the number of probes.
	keepAliveIdle       = 5 * time.Second
	keepAliveInterval   = time.Second
	readBuffer          = 4 << 10 // bytes
	maxSkippedResponses = 8       // 1xx responses and responses to earlier requests skipped per request
	// maxRefusals limits the refusals on one connection, whose ids are kept. After
	// that many the connection is not reused.
	maxRefusals = 32
	// maxHead limits the head (status line and headers) of a response, in bytes.
	// A faulty target may send a head that never ends.
	maxHead = 64 << 10
)

var (
	// ErrConnectionEnded is returned when the connection ended before a response arrived.
	ErrConnectionEnded = errors.New("the connection to the target ended without a response")
	// ErrWrongAnswer is returned when a response carries the id of another request.
	ErrWrongAnswer = errors.New("the target sent a response to another request")
)

// errPanic is returned when a response could not be processed.
var errPanic = errors.New("panic while the response was read")

// Conn is an HTTP/1.1 connection that carries one request at a time.
type Conn struct {
	to        Endpoint
	conn      net.Conn
	limiter   *HeadLimiter // limits the heads that reader reads from conn
	reader    *bufio.Reader
	lastUsed  time.Duration // when the last request ended
	keepAlive time.Duration // idle time after which the target closes the connection, 0 if unknown
	fresh     bool          // no request was sent on the connection yet

	mu      sync.Mutex
	dead    bool
	waiting chan<- Result // receives the response to the request in flight, nil while idle
	request *http.Request
	id      string
	refused []string // ids of the requests that the target refused on the connection
	codec   Codec
	resume  chan bool     // tells readLoop that the response was read; false ends the connection
	proceed chan struct{} // receives a value when the other side waits for the body
	onDead  func(*Conn)

	writeMu  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// Result is a response, or the error that occurred instead.
type Result struct {
	Response *http.Response
	Answer   Answer // metadata in the headers of Response
	Err      error
}

// Expect registers a request that is about to be written and returns the channel
// on which its result arrives. It returns false if the connection has ended, or if an
// answer to the request could not be told from a copy of an earlier one; then Expect
// ends the connection.
func (u *Conn) Expect(request *http.Request, id string) (<-chan Result, bool) {
	ch := make(chan Result, 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead {
		return nil, false
	}
	if id == "" && !u.fresh || slices.Contains(u.refused, id) {
		u.dead = true
		_ = u.conn.Close() // stops readLoop
		return nil, false
	}
	u.waiting, u.request, u.id = ch, request, id
	select {
	case <-u.proceed: // of an earlier request
	default:
	}
	return ch, true
}

// Continue returns a channel that receives a value once the other side has answered 100 to
// the request in flight, so that it waits for the body.
func (u *Conn) Continue() <-chan struct{} { return u.proceed }

// usable reports whether the connection can carry another request.
func (u *Conn) usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.dead && len(u.refused) < maxRefusals
}

// Abort ends a connection whose response was not read in full.
func (u *Conn) Abort() {
	u.Close()
	select {
	case u.resume <- false:
	default:
	}
}

// Close ends the connection.
func (u *Conn) Close() {
	u.mu.Lock()
	u.dead = true
	u.mu.Unlock()
	_ = u.conn.Close()
}

// Address returns the address that the connection was opened to.
func (u *Conn) Address() string { return u.to.Address }

// Fresh reports whether no earlier request was sent on the connection.
func (u *Conn) Fresh() bool { return u.fresh }

// SetKeepAlive sets the idle time after which the target closes the connection.
func (u *Conn) SetKeepAlive(d time.Duration) { u.keepAlive = d }

// SetWriteDeadline limits later writes. Its error is ignored: if the connection
// has ended, the next write fails.
func (u *Conn) SetWriteDeadline(t time.Time) { _ = u.conn.SetWriteDeadline(t) }
