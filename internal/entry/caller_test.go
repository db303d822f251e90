package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// pattern returns the content of a complete download of n bytes.
func pattern(n int) []byte {
	p := make([]byte, n)
	standin.Pattern(p, 0)
	return p
}

// Guards against truncated responses that look complete to the caller.
func TestCutDownloadAborts(t *testing.T) {
	for name, query := range map[string]string{"known length": "bytes=1000000", "chunked": "bytes=1000000&chunked=1"} {
		Convey("HTTP/1.1, "+name, t, func() {
			target := startTarget(t, standin.Config{Fault: standin.Fault{Cut: true}})
			h := startHost(t, []string{target.Address()})
			got := h.do("GET", "/s/bookings/export?"+query, "", "")
			So(got.err, ShouldNotBeNil)
			So(len(got.body), ShouldBeLessThanOrEqualTo, 500000)
			So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeFailed})
		})
		Convey("HTTP/1.0, "+name, t, func() {
			target := startTarget(t, standin.Config{Fault: standin.Fault{Cut: true}})
			h := startHost(t, []string{target.Address()})
			conn, err := net.Dial("tcp", h.address)
			So(err, ShouldBeNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /s/bookings/export?%s HTTP/1.0\r\n\r\n", query)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, conn)
			So(err, ShouldNotBeNil) // a reset instead of the EOF that ends an HTTP/1.0 body
		})
	}
}

// A response without Content-Length or chunked encoding cannot be distinguished
// from a truncated one.
func TestUnframedResponseIsRefused(t *testing.T) {
	Convey("a response that ends with its connection", t, func() {
		address := rawTarget(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
			return false
		})
		h := startHost(t, []string{address})
		got := h.do("POST", "/s/bookings/rooms", "", "")
		So(got.status, ShouldEqual, 502)
		So(problem(t, got.body).Code, ShouldEqual, CodeBadResponse)
		So(got.outcome, ShouldEqual, OutcomeUnknown)
	})
}

// Guards against slots that stay taken after their caller has left.
func TestCallerGone(t *testing.T) {
	Convey("the attempt is cancelled, and the slot released", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "POST", h.url+"/s/bookings/rooms?work_ms=60000", strings.NewReader("room 4"))
		So(err, ShouldBeNil)
		go func() {
			eventually(t, "work started", func() bool { return target.Stats().Outstanding == 1 })
			cancel()
		}()
		_, err = h.client.Do(req)
		So(err, ShouldNotBeNil)
		So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeAbandoned})
		eventually(t, "work cancelled", func() bool { return target.Stats().Cancelled == 1 })
	})
	Convey("a claimed request that was sent runs to its end, and its answer is replayed to a resend", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		key := newKey()
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "POST", h.url+"/s/bookings/rooms?work_ms=300", strings.NewReader("room 4"))
		So(err, ShouldBeNil)
		req.Header.Set(HeaderKey, key)
		go func() {
			eventually(t, "work started", func() bool { return target.Stats().Outstanding == 1 })
			cancel()
		}()
		_, err = h.client.Do(req)
		So(err, ShouldNotBeNil)
		So(<-h.claims.finished, ShouldEqual, "done")
		So(h.do("POST", "/s/bookings/rooms?work_ms=300", key, "room 4").outcome, ShouldEqual, OutcomeReplayed)
		So(target.Stats().Runs[key], ShouldEqual, 1)
	})
	Convey("an aborted upload never looks complete to the target", t, func() {
		for _, key := range []string{"", newKey()} {
			target := startTarget(t, standin.Config{})
			h := startHost(t, []string{target.Address()})
			reader, writer := io.Pipe()
			req, err := http.NewRequest("POST", h.url+"/s/bookings/rooms", reader)
			So(err, ShouldBeNil)
			if key != "" {
				req.Header.Set(HeaderKey, key)
			}
			go func() {
				_, _ = writer.Write(bytes.Repeat([]byte("x"), 100_000))
				writer.CloseWithError(errors.New("disk failed"))
			}()
			_, err = h.client.Do(req)
			So(err, ShouldNotBeNil)
			So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeAbandoned})
			So(target.Stats().Received, ShouldEqual, 0)
			if key != "" {
				So(<-h.claims.finished, ShouldEqual, "unknown")
			}
		}
	})
}

// A body has no time limit: exports take longer than any request timeout.
func TestSlowReader(t *testing.T) {
	Convey("a caller that reads slowly gets a whole download after the deadline of its request", t, func() {
		const size = 3 << 20
		target := startTarget(t, standin.Config{Rate: 2 << 20})
		h := startHost(t, []string{target.Address()})
		conn, err := net.Dial("tcp", h.address)
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET /s/bookings/export?bytes=%d HTTP/1.1\r\nHost: x\r\n%s: 800\r\n\r\n", size, HeaderTimeout)
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
		So(err, ShouldBeNil)
		var got bytes.Buffer
		for {
			_, err = io.CopyN(&got, resp.Body, 128<<10)
			if err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		So(err, ShouldEqual, io.EOF)
		So(bytes.Equal(got.Bytes(), pattern(size)), ShouldBeTrue)
		So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeDone})
	})
}

// Callers must not get each other's responses, even while other attempts are
// abandoned.
func TestCrossingAnswers(t *testing.T) {
	Convey("200 callers at a time, a tenth of whose attempts are abandoned", t, func() {
		var targets []string
		for i := range 8 {
			targets = append(targets, startTarget(t, standin.Config{Slots: 50, Seed: uint64(i), MeanWork: 2 * time.Millisecond,
				Fault: standin.Fault{IgnoreCancel: true}}).Address())
		}
		h := startHost(t, targets)
		var callers sync.WaitGroup
		for c := range 200 {
			callers.Go(func() {
				for n := range 20 {
					checkOwnResponse(h, c, n)
				}
			})
		}
		callers.Wait()
	})
}

// checkOwnResponse sends request n of a caller and checks that the response is
// its own. Every tenth request has a timeout of 1 ms and may end with status 504.
func checkOwnResponse(h *testHost, caller, n int) {
	headers := []string{}
	if n%10 == 9 {
		headers = []string{HeaderTimeout, "1"}
	}
	query, body := fmt.Sprintf("caller=%d&n=%d", caller, n), fmt.Sprintf("body %d %d", caller, n)
	got := h.do("POST", "/s/bookings/rooms?"+query, "", body, headers...)
	if got.status == 504 && len(headers) > 0 {
		return
	}
	if got.err != nil || got.status != 200 {
		h.t.Errorf("caller %d, request %d: got status %d, error %v and body %s; want status 200", caller, n, got.status, got.err, got.body)
		return
	}
	if r := receipt(h.t, got.body); r.Query != query || r.BodyBytes != int64(len(body)) {
		h.t.Errorf("caller %d, request %d: got the response to query %q or to another body", caller, n, r.Query)
	}
}

// A second response that a target sends must not be taken for the response to the next request.
func TestStrayResponse(t *testing.T) {
	Convey("a target that answers each request twice", t, func() {
		target := startTarget(t, standin.Config{Fault: standin.Fault{Twice: true}})
		h := startHost(t, []string{target.Address()})
		for n := range 50 {
			query := fmt.Sprintf("n=%d", n)
			got := h.do("POST", "/s/bookings/rooms?"+query, newKey(), "")
			So(got.err, ShouldBeNil)
			if got.status == 200 {
				So(receipt(t, got.body).Query, ShouldEqual, query)
				continue
			}
			// The stray response came after the request was sent.
			So(got.status, ShouldEqual, 502)
			So(got.outcome, ShouldEqual, OutcomeUnknown)
		}
	})
	Convey("a target that answers with the name of another attempt", t, func() {
		address := rawTarget(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nHornbeam-Attempt: other\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		h := startHost(t, []string{address})
		got := h.do("POST", "/s/bookings/rooms", "", "")
		So(got.status, ShouldEqual, 502)
		So(got.outcome, ShouldEqual, OutcomeUnknown)
	})
}

// net/http (Go 1.26) panics between requests if a full-duplex handler leaves a body unread.
func TestConnectionSurvivesUnreadBody(t *testing.T) {
	Convey("requests refused, replayed or timed out with a body leave the connection usable", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		conn, err := net.Dial("tcp", h.address)
		So(err, ShouldBeNil)
		defer conn.Close()
		reader := bufio.NewReader(conn)
		key := newKey()
		for range 20 {
			for _, c := range []struct {
				head   string
				status int
			}{
				{"POST /s/bookings/rooms HTTP/1.1\r\nIdempotency-Key: " + key, 200},
				{"POST /s/nowhere/rooms HTTP/1.1", 404},
				{"POST /s/bookings/rooms HTTP/1.1\r\nIdempotency-Key: 7", 400},
				{"POST /s/bookings/rooms?work_ms=60000 HTTP/1.1\r\nHornbeam-Timeout-Ms: 1", 504},
			} {
				_, err := fmt.Fprintf(conn, "%s\r\nHost: x\r\nContent-Length: 6\r\n\r\nroom 4", c.head)
				So(err, ShouldBeNil)
				resp, err := http.ReadResponse(reader, nil)
				So(err, ShouldBeNil)
				_, err = io.Copy(io.Discard, resp.Body)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, c.status)
				So(resp.Close, ShouldBeFalse)
			}
		}
	})
}

// Without the stall timeout, a caller that vanished holds a slot until TCP gives up.
func TestStalledCaller(t *testing.T) {
	Convey("a caller that accepts no bytes gets a reset, and the slot is freed", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()}, func(c *Config, _ *bundle.Service) {
			c.Timeouts = DefaultTimeouts
			c.Timeouts.CallerStall = 200 * time.Millisecond
		})
		conn, err := net.Dial("tcp", h.address)
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET /s/bookings/export?bytes=50000000&chunked=1 HTTP/1.0\r\n\r\n")
		So(err, ShouldBeNil)
		So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeAbandoned})
		_, err = io.Copy(io.Discard, conn)
		So(err, ShouldNotBeNil)
	})
}

// A target may answer before it has read the upload. The rest of the upload must
// neither reach the target nor break the host.
func TestEarlyResponse(t *testing.T) {
	Convey("the caller gets the response, and its connection is closed", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig")
			_, _ = io.Copy(io.Discard, conn)
		}()
		h := startHost(t, []string{l.Addr().String()})
		conn, err := net.Dial("tcp", h.address)
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /s/bookings/rooms HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nbegin")
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "big")
		So(resp.StatusCode, ShouldEqual, 413)
		So(resp.Close, ShouldBeTrue)
		So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeDone})
	})
}
