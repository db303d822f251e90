package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
)

func receipt(t testing.TB, body []byte) standin.Receipt {
	t.Helper()
	var r standin.Receipt
	if err := json.Unmarshal(body, &r); err != nil {
		t.Errorf("decode receipt %q: %v", body, err)
	}
	return r
}

func problem(t testing.TB, body []byte) problemFields {
	t.Helper()
	var p problemBody
	if err := json.Unmarshal(body, &p); err != nil {
		t.Errorf("decode problem %q: %v", body, err)
	}
	return p.Error
}

func TestForward(t *testing.T) {
	Convey("Given an entry host and a target", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})

		Convey("a request reaches the target with its path as it was sent", func() {
			got := h.do("GET", "/s/bookings/a%2Fb//c/../d;x?q=1&q=%20;", "", "")
			So(got.err, ShouldBeNil)
			So(got.status, ShouldEqual, 200)
			So(got.outcome, ShouldEqual, OutcomeDone)
			So(receipt(t, got.body).Query, ShouldEqual, "q=1&q=%20;")
			So(receipt(t, got.body).Path, ShouldEqual, "/a/b//c/../d;x")
		})

		Convey("a keyed request runs once and is replayed to a resend", func() {
			key := newKey()
			first := h.do("POST", "/s/bookings/rooms", key, "room 4")
			again := h.do("POST", "/s/bookings/rooms", key, "room 4")
			So(first.outcome, ShouldEqual, OutcomeDone)
			So(again.outcome, ShouldEqual, OutcomeReplayed)
			So(again.body, ShouldResemble, first.body)
			So(target.Stats().Runs[key], ShouldEqual, 1)
		})
	})
	Convey("framing, trailers and a missing content type pass through", t, func() {
		address := rawTarget(t, func(_ int, conn net.Conn, r *http.Request) bool {
			answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\nKeep-Alive: 5\r\n\r\n4\r\n<ht>\r\n0\r\nX-Sum: 9\r\n\r\n"
			if r.Method == "HEAD" {
				answer = "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"
			}
			_, err := io.WriteString(conn, answer)
			return err == nil
		})
		h := startHost(t, []string{address})
		resp, err := h.client.Get(h.url + "/s/bookings/x")
		So(err, ShouldBeNil)
		body, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		resp.Body.Close()
		So(string(body), ShouldEqual, "<ht>")
		So(resp.Trailer.Get("X-Sum"), ShouldEqual, "9")
		So(resp.Header["Content-Type"], ShouldBeNil)
		So(resp.Header["Keep-Alive"], ShouldBeNil)
		head := h.do("HEAD", "/s/bookings/x", "", "")
		So(head.header.Get("Content-Length"), ShouldEqual, "77")
		So(len(head.body), ShouldEqual, 0)
	})
}

// Strict targets refuse a GET with a chunked body and a POST without any framing.
func TestBodyFraming(t *testing.T) {
	for _, c := range []struct {
		method, body, framing string
	}{
		{"GET", "", "0 []"}, {"HEAD", "", "0 []"}, {"DELETE", "", "0 []"}, {"POST", "", "-1 [chunked]"},
		{"PUT", "room 4", "6 []"}, {"DELETE", "room 4", "6 []"},
	} {
		Convey(c.method+" "+c.body, t, func() {
			seen := make(chan string, 1)
			address := rawTarget(t, func(n int, conn net.Conn, r *http.Request) bool {
				seen <- fmt.Sprint(r.ContentLength, r.TransferEncoding)
				return rawOK(n, conn, r)
			})
			h := startHost(t, []string{address})
			So(h.do(c.method, "/s/bookings/x", "", c.body).status, ShouldEqual, 200)
			So(<-seen, ShouldEqual, c.framing)
		})
	}
}
