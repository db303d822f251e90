package peer

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type echoRequest struct {
	Text string        `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint"`
}

type echoReply struct {
	Text string `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
}

type codedError struct{}

func (codedError) Error() string { return "no room" }
func (codedError) Code() string  { return "busy" }

// startEcho starts a server with an echo method and returns its address. Cancelled
// handlers send on cancelled.
func startEcho(t *testing.T, cancelled chan<- struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("server")
	Register(s, "echo", func(ctx context.Context, from string, req echoRequest) (echoReply, error) {
		if req.Text == "busy" {
			return echoReply{}, codedError{}
		}
		select {
		case <-time.After(req.Wait):
		case <-ctx.Done():
			cancelled <- struct{}{}
		}
		return echoReply{Text: req.Text, From: from}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

// TestCalls guards against replies that are delayed, lost or delivered to another
// call on the shared connection, and against errors that lose their cause.
func TestCalls(t *testing.T) {
	Convey("Given a server and a client", t, func() {
		cancelled := make(chan struct{}, 1)
		addr := startEcho(t, cancelled)
		c := NewClient("client")
		Reset(c.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		Reset(cancel)

		Convey("a waiting call does not delay others on the same connection", func() {
			slow := make(chan error, 1)
			slowCtx, stop := context.WithCancel(ctx)
			go func() {
				_, err := Call[echoRequest, echoReply](slowCtx, c, addr, "echo", echoRequest{Text: "slow", Wait: time.Hour})
				slow <- err
			}()
			got, err := Call[echoRequest, echoReply](ctx, c, addr, "echo", echoRequest{Text: "fast"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, echoReply{Text: "fast", From: "client"})
			stop()
			So(<-slow, ShouldEqual, context.Canceled)
			<-cancelled // the handler must not outlive the call
		})
		Convey("replies reach the right calls when many are in flight", func() {
			var wg sync.WaitGroup
			wrong := make(chan string, 200)
			for i := range 200 {
				text := strings.Repeat("x", i)
				wg.Go(func() {
					got, err := Call[echoRequest, echoReply](ctx, c, addr, "echo", echoRequest{Text: text, Wait: time.Duration(i%7) * time.Millisecond})
					if err != nil || got.Text != text {
						wrong <- text
					}
				})
			}
			wg.Wait()
			So(len(wrong), ShouldEqual, 0)
		})
		Convey("a handler error keeps its code", func() {
			_, err := Call[echoRequest, echoReply](ctx, c, addr, "echo", echoRequest{Text: "busy"})
			var remote *RemoteError
			So(err, ShouldHaveSameTypeAs, remote)
			So(err.(*RemoteError).Code, ShouldEqual, "busy")
		})
		Convey("an unknown method and a body of another shape are errors, not crashes", func() {
			_, err := Call[echoRequest, echoReply](ctx, c, addr, "none", echoRequest{})
			So(err, ShouldNotBeNil)
			_, err = Call[string, echoReply](ctx, c, addr, "echo", "text")
			So(err, ShouldNotBeNil)
		})
		Convey("a refused connection is recognized", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			closed := l.Addr().String()
			So(l.Close(), ShouldBeNil)
			_, err = Call[echoRequest, echoReply](ctx, c, closed, "echo", echoRequest{})
			So(IsRefused(err), ShouldBeTrue)
		})
		Convey("closing a connection fails the calls on it, and the next call opens another", func() {
			waiting := make(chan error, 1)
			go func() {
				_, err := Call[echoRequest, echoReply](ctx, c, addr, "echo", echoRequest{Text: "slow", Wait: time.Hour})
				waiting <- err
			}()
			for calling := false; !calling; time.Sleep(time.Millisecond) {
				session, err := c.session(addr)
				So(err, ShouldBeNil)
				session.mu.Lock()
				calling = len(session.pending) > 0
				session.mu.Unlock()
			}
			c.Disconnect(addr)
			So(errors.Is(<-waiting, ErrConnectionLost), ShouldBeTrue)
			_, err := Call[echoRequest, echoReply](ctx, c, addr, "echo", echoRequest{Text: "again"})
			So(err, ShouldBeNil)
		})
		Convey("garbage bytes on the port do not stop the server", func() {
			conn, err := net.Dial("tcp", addr)
			So(err, ShouldBeNil)
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\xff\xff"))
			_ = conn.Close()
			_, err = Call[echoRequest, echoReply](ctx, c, addr, "echo", echoRequest{Text: "still here"})
			So(err, ShouldBeNil)
		})
	})
}

// TestTextThatIsNotUTF8 guards against one string of an odd writer that keeps the
// receiver from the whole message (review case 1).
func TestTextThatIsNotUTF8(t *testing.T) {
	c := NewClient("client \xfe")
	t.Cleanup(c.Close)
	addr := startEcho(t, nil)
	reply, err := Call[echoRequest, echoReply](context.Background(), c, addr, "echo", echoRequest{Text: "a\xff\xfe"})
	if err != nil || reply.Text != "a\xff\xfe" || reply.From != "client \xfe" {
		t.Errorf("reply %+q, error %v, want the text and the name unchanged", reply, err)
	}
	if _, err := Call[echoRequest, echoReply](context.Background(), c, addr, "none\xff", echoRequest{}); err == nil || errors.Is(err, ErrConnectionLost) {
		t.Errorf("call of an unknown method: error %v, want that of the server", err)
	}
}

// Guards against messages to a host that reads nothing which fill the memory although few
// of them wait.
func TestQueuedBytesAreLimited(t *testing.T) {
	s := newSession("127.0.0.1:1", nil, &Traffic{}, func(*session) {})
	large := &envelope{Body: make([]byte, sendQueueBytes/4)}
	for range 4 {
		if err := s.enqueue(large); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.enqueue(&envelope{Body: []byte("x")}); !errors.Is(err, ErrQueueFull) {
		t.Errorf("a message over the limit of bytes was queued with error %v, want ErrQueueFull", err)
	}
	if err := s.enqueue(&envelope{Kind: kindCancel}); err != nil {
		t.Errorf("a message without a body was not queued: %v", err)
	}
}
