package gateway

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
	targetDialTimeout = 400 * time.Millisecond
	// unackedLimit ends a connection whose target's host takes nothing any more.
	unackedLimit   = 700 * time.Millisecond
	targetBuffer   = 16 << 10
	maxInformative = 8 // 1xx responses and answers to earlier requests that are passed over
)

var (
	errConnectionEnded = errors.New("the target closed the connection")
	errUnsigned        = errors.New("the success is not signed by the target")
	errWrongAnswer     = errors.New("the target answered another request")
)

// upstream is a connection to a target. One request is at work on it at a time.
type upstream struct {
	conn      net.Conn
	reader    *bufio.Reader
	used      time.Duration // end of the last request
	keepAlive time.Duration // the target closes after this idle time, 0 if unknown
	fresh     bool          // no request was sent on it yet

	mu      sync.Mutex
	dead    bool
	waiting chan<- result // of the request at work, nil while idle
	request *http.Request
	id      string
	codec   Codec
	resume  chan bool // the response was read; false ends the connection
	onDead  func(*upstream)
}

// result is a response or the error that came in its place.
type result struct {
	response *http.Response
	answer   Answer
	err      error
}

func dialTarget(address string, timeout time.Duration) (*upstream, error) {
	dialer := net.Dialer{Timeout: timeout, Control: limitUnacked, KeepAlive: 5 * time.Second}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &upstream{conn: conn, reader: bufio.NewReaderSize(conn, targetBuffer), resume: make(chan bool, 1), fresh: true}, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// readLoop delivers responses. Bytes that arrive while no request is at work
// belong to none and end the connection.
func (u *upstream) readLoop() {
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
				waiting <- result{err: fmt.Errorf("%w: %w", errConnectionEnded, err)}
			}
			return
		}
		u.mu.Unlock()
		r := u.readResponse(request, id)
		u.mu.Lock()
		u.waiting = nil
		u.mu.Unlock()
		waiting <- r
		if r.err != nil || !<-u.resume {
			u.close()
			return
		}
	}
}

// readResponse reads the response to a request; it passes over informational
// responses and late answers to earlier requests.
func (u *upstream) readResponse(request *http.Request, id string) result {
	for range maxInformative {
		response, err := http.ReadResponse(u.reader, request)
		if err != nil {
			return result{err: err}
		}
		if response.StatusCode < 200 {
			continue
		}
		answer := u.codec.Answer(response.StatusCode, response.Header)
		if id == "" || answer.ID == id || (answer.ID == "" && answer.NotExecuted) {
			return result{response: response, answer: answer}
		}
		response.Close = true
		if response.ContentLength < 0 {
			return result{err: errWrongAnswer}
		}
		if _, err := u.reader.Discard(int(response.ContentLength)); err != nil {
			return result{err: err}
		}
		u.mu.Lock()
		u.dead = true // what else may come is unknown, so it is not used again
		u.mu.Unlock()
	}
	return result{err: errWrongAnswer}
}

// send writes a request and returns where its response arrives.
func (u *upstream) expect(request *http.Request, id string) (<-chan result, bool) {
	ch := make(chan result, 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead {
		return nil, false
	}
	u.waiting, u.request, u.id = ch, request, id
	return ch, true
}

// usable reports whether the connection may carry another request.
func (u *upstream) usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.dead
}

// abort ends a connection whose response was not read in full.
func (u *upstream) abort() {
	u.close()
	select {
	case u.resume <- false:
	default:
	}
}

func (u *upstream) close() {
	u.mu.Lock()
	u.dead = true
	u.mu.Unlock()
	_ = u.conn.Close()
}
