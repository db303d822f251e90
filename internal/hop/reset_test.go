package hop

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// resetConn is a connection that is reset while a request is written to it: the write
// receives the error, and with it the kernel's only report of the reset, so that reads end
// as on a connection that was closed in order.
type resetConn struct {
	net.Conn
	answer  []byte
	broken  bool          // the write fails
	written chan struct{} // closed when the write returns
	once    sync.Once
}

func (c *resetConn) Write(p []byte) (int, error) {
	defer c.once.Do(func() { close(c.written) })
	if c.broken {
		return len(p) / 2, syscall.ECONNRESET
	}
	return len(p), nil
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.written
	if len(c.answer) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.answer)
	c.answer = c.answer[n:]
	return n, nil
}

func (c *resetConn) Close() error { return nil }

// Guards against an answer without a length whose target resets the connection while the
// request is still being written, and that is taken for a whole one (issue 35).
func TestResetDuringTheRequestCutsTheAnswer(t *testing.T) {
	const id = "7"
	for _, x := range []struct {
		name, head, body string
		broken, whole    bool
	}{
		{"reset, no length", "", "part", true, false},
		{"reset, whole length", "Content-Length: 4\r\n", "part", true, true},
		{"reset, whole chunks", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", true, true},
		{"closed, no length", "", "part", false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			conn := &resetConn{broken: x.broken, written: make(chan struct{}),
				answer: []byte("HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + x.head + "\r\n" + x.body)}
			u := newConn(Endpoint{}, conn)
			u.codec = plainCodec{}
			go u.readLoop()
			e, ok := u.Begin(&http.Request{Method: http.MethodPost}, id)
			if !ok {
				t.Fatal("the connection takes no request")
			}
			_, _ = e.Write(make([]byte, 100)) // its error is the matter of the test
			r := <-e.Results()
			if r.Err != nil {
				t.Fatal(r.Err)
			}
			body, err := io.ReadAll(r.Response.Body)
			if whole := err == nil; whole != x.whole || string(body) != "part" {
				t.Errorf("body %q with error %v, want a whole one: %v", body, err, x.whole)
			}
			if !x.whole && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the error %v does not name the reset", err)
			}
			e.Abort()
		})
	}
}

// Guards against the end of an answer that is read while the write that learns of the reset
// has not returned yet.
func TestEndOfAnswerWaitsForTheWrite(t *testing.T) {
	read := make(chan struct{})
	conn := &slowWriteConn{resetConn: resetConn{written: make(chan struct{}), broken: true,
		answer: []byte("HTTP/1.1 200 OK\r\nId: 7\r\n\r\npart")}, read: read}
	u := newConn(Endpoint{}, conn)
	u.codec = plainCodec{}
	go u.readLoop()
	e, _ := u.Begin(&http.Request{Method: http.MethodPost}, "7")
	go func() { _, _ = e.Write(make([]byte, 100)) }()
	r := <-e.Results()
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	if body, err := io.ReadAll(r.Response.Body); err == nil {
		t.Errorf("body %q was taken for a whole one", body)
	}
	e.Abort()
}

// slowWriteConn is a resetConn whose write returns its error some time after the end of the
// answer could be read.
type slowWriteConn struct {
	resetConn
	read chan struct{}
}

func (c *slowWriteConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.written) })
	<-c.read
	time.Sleep(20 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (c *slowWriteConn) Read(p []byte) (int, error) {
	n, err := c.resetConn.Read(p)
	if err != nil {
		close(c.read)
	}
	return n, err
}
