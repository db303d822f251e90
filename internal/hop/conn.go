package hop

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	resume  chan bool // tells readLoop that the response was read; false ends the connection
	proceed chan struct{}
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

// dial opens a connection from a source address, nil to let the system choose it.
func dial(to Endpoint, from *net.TCPAddr, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval}}
	if from != nil {
		dialer.LocalAddr = from
	}
	conn, err := dialer.Dial("tcp", to.Address)
	if err != nil {
		return nil, err
	}
	return newConn(to, conn), nil
}

func newConn(to Endpoint, conn net.Conn) *Conn {
	limiter := NewHeadLimiter(conn)
	return &Conn{to: to, conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBuffer),
		resume: make(chan bool, 1), proceed: make(chan struct{}, 1), fresh: true}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// readLoop reads responses and delivers them to the waiting request. Bytes that
// arrive while no request is in flight belong to no request and end the connection.
func (u *Conn) readLoop() {
	for {
		_, err := u.reader.Peek(1)
		u.mu.Lock()
		waiting, request, id := u.waiting, u.request, u.id
		if err != nil || waiting == nil {
			u.dead = true
			u.waiting = nil
			u.mu.Unlock()
			_ = u.conn.Close()
			if u.onDead != nil {
				u.onDead(u)
			}
			if waiting != nil {
				waiting <- Result{Err: fmt.Errorf("%w: %w", ErrConnectionEnded, err)}
			}
			return
		}
		u.mu.Unlock()
		r := u.readResponse(request, id)
		u.mu.Lock()
		u.waiting = nil
		if r.Err == nil && r.Answer.NotExecuted {
			u.refused = append(u.refused, id)
		}
		u.mu.Unlock()
		waiting <- r
		if r.Err != nil || !<-u.resume {
			u.Close()
			return
		}
	}
}

// readResponse reads the response to a request. It skips informational responses
// and late responses to earlier requests.
func (u *Conn) readResponse(request *http.Request, id string) (result Result) {
	defer func() {
		if value := recover(); value != nil {
			// One odd response must not end the process with all other requests.
			result = Result{Err: fmt.Errorf("%w: %v", errPanic, value)}
		}
	}()
	for range maxSkippedResponses {
		response, err := u.readHead(request)
		if err != nil {
			return Result{Err: err}
		}
		if response.StatusCode < 200 {
			u.informed(response.StatusCode)
			continue
		}
		answer := u.codec.Answer(response.StatusCode, response.Header)
		if u.belongs(answer, id) {
			return Result{Response: response, Answer: answer}
		}
		response.Close = true
		if response.ContentLength < 0 {
			return Result{Err: ErrWrongAnswer}
		}
		if _, err := u.reader.Discard(int(response.ContentLength)); err != nil {
			return Result{Err: err}
		}
		u.mu.Lock()
		u.dead = true // more stray bytes may follow, so the connection is not reused
		u.mu.Unlock()
	}
	return Result{Err: ErrWrongAnswer}
}

// belongs reports whether an answer belongs to the request in flight. A target may
// write an answer more than once, also when the connection is in use again. Without
// an id the answer can only be tied to the first request on a connection, and with an
// id of the request itself it must be a refusal.
func (u *Conn) belongs(answer Answer, id string) bool {
	if answer.ID != "" {
		return answer.ID == id
	}
	return u.fresh && (id == "" || answer.NotExecuted)
}

// readHead reads the head of a response; its body stays unread.
func (u *Conn) readHead(request *http.Request) (*http.Response, error) {
	u.limiter.Allow(maxHead + readBuffer)
	defer u.limiter.RemoveLimit()
	response, err := http.ReadResponse(u.reader, request)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(CheckStatus(response), CheckFields(response.Header)); err != nil {
		return nil, err
	}
	if isUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, conn: u}
	}
	return response, nil
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

// Proceed returns a channel that receives a value once the other side has answered 100 to
// the request in flight, so that it waits for the body.
func (u *Conn) Proceed() <-chan struct{} { return u.proceed }

// informed acts on the status of an informational response.
func (u *Conn) informed(status int) {
	if status != http.StatusContinue {
		return
	}
	select {
	case u.proceed <- struct{}{}:
	default:
	}
}

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
