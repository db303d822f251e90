package hop

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the opening of a connection to a target.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose target's host takes nothing any more.
	unackedTimeout      = 700 * time.Millisecond
	readBuffer          = 4 << 10
	maxSkippedResponses = 8 // 1xx responses and answers to earlier requests that are passed over
	// maxHead bounds the head of a response. Targets in trouble send heads without end.
	maxHead = 64 << 10
)

var (
	// ErrConnectionEnded says that the connection ended without a response.
	ErrConnectionEnded = errors.New("the target closed the connection")
	// ErrWrongAnswer says that a response names another request.
	ErrWrongAnswer = errors.New("the target answered another request")
)

// Conn is a connection on which requests are sent. One request is at work on it at a time.
type Conn struct {
	to        Endpoint
	conn      net.Conn
	limiter   *HeadLimiter // between conn and reader
	reader    *bufio.Reader
	lastUsed  time.Duration // end of the last request
	keepAlive time.Duration // the target closes after this idle time, 0 if unknown
	fresh     bool          // no request was sent on it yet

	mu      sync.Mutex
	dead    bool
	waiting chan<- Result // of the request at work, nil while idle
	request *http.Request
	id      string
	codec   Codec
	resume  chan bool // the response was read; false ends the connection
	onDead  func(*Conn)
}

// Result is a response or the error that came in its place.
type Result struct {
	Response *http.Response
	Answer   Answer // what the headers of Response say
	Err      error
}

func dial(to Endpoint, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUnackedTimeout, KeepAlive: 5 * time.Second}
	conn, err := dialer.Dial("tcp", to.Address)
	if err != nil {
		return nil, err
	}
	limiter := NewHeadLimiter(conn)
	return &Conn{to: to, conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBuffer),
		resume: make(chan bool, 1), fresh: true}, nil
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// readLoop delivers responses. Bytes that arrive while no request is at work
// belong to none and end the connection.
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
		u.mu.Unlock()
		waiting <- r
		if r.Err != nil || !<-u.resume {
			u.Close()
			return
		}
	}
}

// readResponse reads the response to a request; it passes over informational
// responses and late answers to earlier requests.
func (u *Conn) readResponse(request *http.Request, id string) Result {
	for range maxSkippedResponses {
		response, err := u.readHead(request)
		if err != nil {
			return Result{Err: err}
		}
		if response.StatusCode < 200 {
			continue
		}
		answer := u.codec.Answer(response.StatusCode, response.Header)
		if id == "" || answer.ID == id || (answer.ID == "" && answer.NotExecuted) {
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
		u.dead = true // what else may come is unknown, so it is not used again
		u.mu.Unlock()
	}
	return Result{Err: ErrWrongAnswer}
}

// readHead reads a response up to its body.
func (u *Conn) readHead(request *http.Request) (*http.Response, error) {
	u.limiter.Allow(maxHead + readBuffer)
	defer u.limiter.RemoveLimit()
	return http.ReadResponse(u.reader, request)
}

// Expect says that a request is about to be written; its response arrives on
// the channel. It reports false if the connection has ended.
func (u *Conn) Expect(request *http.Request, id string) (<-chan Result, bool) {
	ch := make(chan Result, 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead {
		return nil, false
	}
	u.waiting, u.request, u.id = ch, request, id
	return ch, true
}

// usable reports whether the connection may carry another request.
func (u *Conn) usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.dead
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

// Address is where the connection leads to.
func (u *Conn) Address() string { return u.to.Address }

// Fresh reports whether no earlier request was sent on the connection.
func (u *Conn) Fresh() bool { return u.fresh }

// SetKeepAlive notes after which idle time the target closes the connection.
func (u *Conn) SetKeepAlive(d time.Duration) { u.keepAlive = d }

// SetWriteDeadline bounds writes; a connection that has ended reports it when
// it is written to.
func (u *Conn) SetWriteDeadline(t time.Time) { _ = u.conn.SetWriteDeadline(t) }

// Write sends bytes of a request.
func (u *Conn) Write(p []byte) (int, error) { return u.conn.Write(p) }
