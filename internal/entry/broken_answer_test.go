package entry

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// Guards against an answer whose target stops in the middle of its head and closes, and that
// reaches the caller as a whole one (issue 28, third report).
func TestAnswerCutAnywhereInItsHeadIsNeverWhole(t *testing.T) {
	Convey("no start of a head is passed on as an answer", t, func() {
		const whole = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Kind: diary\r\n\r\n"
		for end := range whole {
			address := rawTarget(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, whole[:end])
				return false
			})
			So(startHost(t, []string{address}).do("POST", "/s/bookings/x", "", "").status, ShouldNotEqual, http.StatusOK)
		}
	})
}

// Guards against a faulty target whose bytes without end fill the memory of the entry host
// (issue 28, first report).
func TestAnswersWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, part string }{
		"no answer":       {"", "\x00\xffgarbage"},
		"one header":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many headers":    {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"early hints":     {"", "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("x", 1<<10) + "\r\n\r\n"},
		"chunk extension": {chunked + "1;", "x"},
		"trailer":         {chunked + "0\r\n", "X: x\r\n"},
	} {
		Convey("bytes without end are not taken: "+name, t, func() {
			target, taken := nettest.StartEndless(t, c.start, c.part)
			h := startHost(t, []string{target.Address()})
			_ = h.do("POST", "/s/bookings/x", "", "")
			So(<-taken, ShouldBeLessThan, nettest.EndlessBytes)
		})
	}
}

// Guards against an answer with a status that does not exist, which cannot be passed on, and
// against the bytes behind it being read as the answer to another request (issue 35).
func TestStatusThatDoesNotExistIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 101 Switching Protocols"} {
		Convey(line+" is no answer", t, func() {
			address := rawTarget(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, line+"\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})
			So(startHost(t, []string{address}).do("POST", "/s/bookings/x", "", "").status, ShouldEqual, http.StatusBadGateway)
		})
	}
}

// Guards against an answer in whose head the name of a field holds a blank, so that its
// length or coding is not applied (issue 35).
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	for _, field := range []string{"X Y: z", "X : z", "Content-Length : 9", "Transfer-Encoding : chunked"} {
		Convey("an answer with the field "+field+" is not passed on", t, func() {
			address := rawTarget(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})
			So(startHost(t, []string{address}).do("POST", "/s/bookings/x", "", "").status, ShouldEqual, http.StatusBadGateway)
		})
	}
}

// Guards against a caller that is told "not run", or another status than its target's, since
// the start of an earlier answer stands before the answer (review case 12).
func TestStartOfAnEarlierAnswerBeforeTheNext(t *testing.T) {
	const earlier = "HTTP/1.1 503 Service Unavailable\r\nHornbeam-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for length := 1; length < len(earlier); length++ {
		Convey("the start "+strconv.Quote(earlier[:length])+" is no part of an answer", t, func() {
			address := rawTarget(t, func(n int, conn net.Conn, _ *http.Request) bool {
				text := next
				if n == 1 {
					text = earlier[:length] + next
				}
				_, err := io.WriteString(conn, text)
				return err == nil
			})
			h := startHost(t, []string{address})
			So(h.do("POST", "/s/bookings/x", "", "").status, ShouldEqual, http.StatusOK)
			So(h.do("POST", "/s/bookings/y", "", "").status, ShouldEqual, http.StatusBadGateway)
		})
	}
}

// Guards against a sound answer that is refused since a head arrives in parts, behind an
// informational one, or with a body right behind it.
func TestAnswersInParts(t *testing.T) {
	Convey("an answer whose bytes arrive one by one is passed on", t, func() {
		address := rawTarget(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			for _, c := range []byte("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nHTTP/1.1 404 No\n\n") {
				if _, err := conn.Write([]byte{c}); err != nil {
					return false
				}
			}
			return true
		})
		h := startHost(t, []string{address})
		for range 3 {
			got := h.do("POST", "/s/bookings/x", "", "")
			So(got.status, ShouldEqual, http.StatusOK)
			So(string(got.body), ShouldEqual, "HTTP/1.1 404 No\n\n")
		}
	})
}
