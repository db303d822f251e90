package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/bytelimit"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// longAnswer is longer than what is read of an answer before it is passed on.
const longAnswer = 30000

// Guards against a request that a target runs and that is never answered, because the
// answer before it on its connection has broken off midway (review case 5).
func TestRequestsBehindABrokenAnswerAreAnswered(t *testing.T) {
	for _, via := range []string{"direct", "relay"} {
		for _, kind := range []policy.Kind{policy.Safe, policy.Download} {
			t.Run(via+" "+kind.String(), func(t *testing.T) {
				behind := make(chan bool)
				f := newFixture(t, func(target *nettest.Target, conn net.Conn, r *http.Request) {
					if r.Header.Get("Id") != "1" {
						close(behind)
						ok(target, conn, r)
						return
					}
					<-behind // the second request has been passed on
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", longAnswer, strings.Repeat("x", longAnswer*2/3))
					_ = conn.Close()
				})
				f.gateway.view.current().Routes[0].MaxAttempts = 1
				f.gateway.view.current().Routes[2].MaxAttempts = 1
				if via == "relay" {
					f.relayAt(startRelay(t, true))
				}
				conn, br := f.dial()
				fmt.Fprint(conn, request("GET", "/"+kind.String()+"/x", "1", "")+request("GET", "/safe/y", "2", ""))
				if status, _, whole := readAnswer(br); status != http.StatusBadGateway || !whole {
					t.Errorf("the first request got %d, whole %v, want a whole 502", status, whole)
				}
				if status, body, whole := readAnswer(br); status != http.StatusOK || body != "t0:" || !whole {
					t.Errorf("the request behind it got %d %q, whole %v, want a whole 200", status, body, whole)
				}
			})
		}
	}
}

// Guards against a request behind an answer of over heldAnswer that is run and never answered,
// because that answer breaks off while it is streamed (review case 9).
func TestRequestsBehindALongBrokenAnswerAreAnswered(t *testing.T) {
	const long, sent = 5 * heldAnswer, 4 * heldAnswer
	for _, via := range []string{"direct", "relay"} {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n", long), "Transfer-Encoding: chunked\r\n\r\n100000\r\n"} {
			behind := make(chan bool)
			f := newFixture(t, func(target *nettest.Target, conn net.Conn, r *http.Request) {
				if r.Header.Get("Id") != "1" {
					close(behind)
					ok(target, conn, r)
					return
				}
				<-behind // the second request has been passed on
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n%s%s", framing, strings.Repeat("x", sent))
				_ = conn.Close()
			})
			f.gateway.view.current().Routes[2].MaxAttempts = 1
			if via == "relay" {
				f.relayAt(startRelay(t, true))
			}
			conn, br := f.dial()
			fmt.Fprint(conn, request("GET", "/download/x", "1", "")+request("GET", "/safe/y", "2", ""))
			if status, _, whole := readAnswer(br); status != http.StatusBadGateway || !whole {
				t.Errorf("%s: the first request got %d, whole %v, want a whole 502", via, status, whole)
			}
			if status, body, whole := readAnswer(br); status != http.StatusOK || body != "t0:" || !whole {
				t.Errorf("%s: the request behind it got %d %q, whole %v, want a whole 200", via, status, body, whole)
			}
		}
	}
}

// Guards against held answers that fill the memory, and against memory that is not free
// again once they were sent.
func TestHeldAnswersAreLimited(t *testing.T) {
	const long = 8 * heldAnswer
	answers := make(chan bool)
	f := newFixture(t, func(target *nettest.Target, conn net.Conn, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get("Id"), "long") {
			answers <- true
			ok(target, conn, r)
			return
		}
		<-answers // the request behind this one has been passed on
		answer(conn, http.StatusOK, r.Header.Get("Id"), strings.Repeat("x", long))
	})
	f.gateway.held = bytelimit.New(2 * heldAnswer)
	for i := range 3 {
		conn, br := f.dial()
		fmt.Fprint(conn, request("GET", "/download/x", fmt.Sprint("long", i), "")+request("GET", "/safe/y", fmt.Sprint(i), ""))
		for _, want := range []int{long, len("t0:")} {
			if status, body, whole := readAnswer(br); status != http.StatusOK || len(body) != want || !whole {
				t.Errorf("pair %d: got %d with %d bytes, whole %v, want a whole 200 with %d", i, status, len(body), whole, want)
			}
		}
	}
	if !f.gateway.held.Acquire(2*heldAnswer) || f.gateway.held.Acquire(1) {
		t.Error("the limit of held answers is not free again, or was exceeded")
	}
}

// Guards against a request that is passed on while the answer before it is being streamed:
// if that one breaks off, the request is run and never answered.
func TestRequestsBehindAStreamedAnswerWait(t *testing.T) {
	finish := make(chan bool)
	f := newFixture(t, func(target *nettest.Target, conn net.Conn, r *http.Request) {
		if r.Header.Get("Id") != "1" {
			ok(target, conn, r)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", longAnswer, strings.Repeat("x", longAnswer*2/3))
		<-finish
		fmt.Fprint(conn, strings.Repeat("x", longAnswer/3))
	})
	conn, br := f.dial()
	fmt.Fprint(conn, request("GET", "/safe/x", "1", ""))
	if _, err := br.Peek(1); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, request("GET", "/safe/y", "2", ""))
	time.Sleep(100 * time.Millisecond)
	if read := ids(f.targets[0]); len(read) != 1 {
		t.Errorf("the target read %v while the first answer was streamed, want only 1", read)
	}
	close(finish)
	for i, want := range []string{strings.Repeat("x", longAnswer), "t0:"} {
		if status, body, whole := readAnswer(br); status != http.StatusOK || body != want || !whole {
			t.Errorf("request %d got %d with %d bytes, whole %v, want a whole 200 with %d", i+1, status, len(body), whole, len(want))
		}
	}
}
