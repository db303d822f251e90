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

// Conn is an HTTP/1.1 connection that carries one request at a time. It is in one of three
// states:
//
//   - free: kept by a Pool, or taken from it. Begin makes it carry a request. Bytes that
//     arrive end it.
//   - carrying a request: only that request's Exchange may write, read and wait. Release
//     makes the connection free if nothing of the request can follow on it, and ends it
//     otherwise; Abort ends it.
//   - ended: closed for good.
type Conn struct {
	to        Endpoint
	conn      net.Conn
	limiter   *HeadLimiter // limits the heads that reader reads from conn
	reader    *bufio.Reader
	codec     Codec
	heads     HeadChecker
	opened    time.Time
	answers   int           // answers that the connection has carried; used only by readLoop
	lastUsed  time.Duration // when the last request ended
	keepAlive time.Duration // idle time after which the target closes the connection, 0 if unknown
	fresh     bool          // no request was sent on the connection yet
	onDead    func(*Conn)

	mu       sync.Mutex
	dead     bool
	exchange *Exchange // of the request that the connection carries, nil if it is free or ended
	refused  []string  // ids of the requests that the target refused on the connection
	resume   chan bool // tells readLoop that the exchange has ended; false ends the connection

	writeMu  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// Result is a response, or the error that occurred instead.
type Result struct {
	Response *http.Response
	Answer   Answer // metadata in the headers of Response
	Err      error
}

// Begin makes the connection carry a request that is about to be written. It returns false
// if the connection has ended, or if an answer to the request could not be told from a copy
// of an earlier one; then Begin ends the connection.
func (u *Conn) Begin(request *http.Request, id string) (*Exchange, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead || u.exchange != nil {
		return nil, false
	}
	if id == "" && !u.fresh || slices.Contains(u.refused, id) {
		u.dead = true
		_ = u.conn.Close() // stops readLoop
		return nil, false
	}
	u.exchange = &Exchange{conn: u, request: request, id: id, fresh: u.fresh, results: make(chan Result, 1)}
	return u.exchange, true
}

// usable reports whether the connection can carry another request.
func (u *Conn) usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.dead && u.exchange == nil
}

// Close ends the connection.
func (u *Conn) Close() {
	u.mu.Lock()
	u.dead = true
	u.mu.Unlock()
	_ = u.conn.Close()
}
