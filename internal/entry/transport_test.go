package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// closingTarget answers requests, but closes the connection after it has read one for /rooms.
// It counts these requests, and how many of them came over a reused connection.
func closingTarget(t *testing.T) (address string, closed, reused *atomic.Int64) {
	closed, reused = new(atomic.Int64), new(atomic.Int64)
	address = rawTarget(t, func(n int, conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/rooms" {
			closed.Add(1)
			reused.Add(int64(min(n, 1)))
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	return address, closed, reused
}

// Guards against net/http resending a request by itself, which would run a
// booking twice.
func TestNoResend(t *testing.T) {
	const requests = 100
	for _, method := range []string{"POST", "DELETE", "GET"} {
		Convey("100 bodyless keyed requests over reused connections are received 100 times: "+method, t, func() {
			address, closed, reused := closingTarget(t)
			h := startHost(t, []string{address})
			for range requests {
				So(h.do("GET", "/s/bookings/x", "", "").status, ShouldEqual, 200)
				So(h.do(method, "/s/bookings/rooms", newKey(), "").outcome, ShouldEqual, OutcomeUnknown)
			}
			So(closed.Load(), ShouldEqual, requests)
			So(reused.Load(), ShouldEqual, requests)
		})
	}
	Convey("the same requests without the body reader are sent again by net/http", t, func() {
		address, closed, _ := closingTarget(t)
		transport := newUpstream(nil).transportFor(bundle.Service{Connections: 10}, 1, "", traffic.Short)
		client := &http.Client{Transport: transport}
		for range requests {
			resp, err := client.Get("http://" + address)
			So(err, ShouldBeNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			req, _ := http.NewRequest("POST", "http://"+address+"/rooms", nil)
			req.Header.Set(HeaderKey, newKey())
			_, err = client.Do(req)
			So(err, ShouldNotBeNil)
		}
		So(closed.Load(), ShouldBeGreaterThan, requests)
	})
}

// Nothing may be sent under a permit that expired before the first byte, for
// example while the process was frozen.
func TestExpiredPermitSendsNothing(t *testing.T) {
	Convey("nothing is sent, and the request gets another permit", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		h.permits.unusableGrants = 2
		key := newKey()
		got := h.do("POST", "/s/bookings/rooms", key, "")
		So(got.status, ShouldEqual, 200)
		So(h.freed(3), ShouldResemble, []slots.Outcome{slots.OutcomeUnsent, slots.OutcomeUnsent, slots.OutcomeDone})
		So(target.Stats().Received, ShouldEqual, 1)
	})
}

// Idle connections beyond a host's share would take connections that other hosts need.
func TestIdleLimit(t *testing.T) {
	Convey("idle connections stay within this host's share", t, func() {
		So(idleLimit(850, 24, false), ShouldEqual, 35)
		So(idleLimit(850, 24, true), ShouldEqual, 17)
		So(idleLimit(10, 24, false), ShouldEqual, 0)
		u := newUpstream(nil)
		So(u.newTransport(transportKey{}, 0).DisableKeepAlives, ShouldBeTrue) // MaxIdleConnsPerHost 0 would mean the default of 2
		s := bundle.Service{Name: "bookings", Connections: 48}
		first := u.transportFor(s, 24, "", traffic.Short)
		So(first.MaxIdleConnsPerHost, ShouldEqual, 2)
		So(first.IdleConnTimeout, ShouldBeBetween, 0, time.Minute) // targets keep idle connections for a minute
		So(u.transportFor(s, 24, "", traffic.Bulk), ShouldEqual, first)
		s.Connections = 96
		So(u.transportFor(s, 24, "", traffic.Short).MaxIdleConnsPerHost, ShouldEqual, 4)
	})
}

// Bytes that cross a link without waiting for link share may exceed its cap.
func TestTrafficWaitsForLinkShare(t *testing.T) {
	Convey("Given targets in another region", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		h.permits.region = "Leinster"
		Convey("all bytes in both directions wait for link share, and the receive buffer once per connection", func() {
			const size = 300_000
			for range 2 {
				got := h.do("PUT", "/s/bookings/export?bytes=300000", "", string(pattern(size)))
				So(len(got.body), ShouldEqual, size)
			}
			So(h.links.bytes(traffic.Outbound), ShouldBeBetween, 2*size, 2*size+10_000)
			So(h.links.bytes(traffic.Inbound), ShouldBeBetween, 2*size+reservedReceiveBytes, 2*size+reservedReceiveBytes+10_000)
		})
		Convey("nothing is sent while the link has no share left", func() {
			h.links.limit = 1
			got := h.do("POST", "/s/bookings/rooms", newKey(), "", HeaderTimeout, "100")
			So(got.status, ShouldEqual, 504)
			So(got.outcome, ShouldEqual, OutcomeNotRun)
			So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeUnsent})
			So(target.Stats().Received, ShouldEqual, 0)
		})
		Convey("no bytes are read beyond the link share", func() {
			h.links.limit = reservedReceiveBytes + 100_000
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "GET", h.url+"/s/bookings/export?bytes=10000000&chunked=1", nil)
			So(err, ShouldBeNil)
			resp, err := h.client.Do(req)
			So(err, ShouldBeNil)
			got, err := io.ReadAll(io.LimitReader(resp.Body, 60_000))
			So(err, ShouldBeNil)
			So(len(got), ShouldEqual, 60_000)
			cancel()
			resp.Body.Close()
			So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeAbandoned})
			So(h.links.bytes(traffic.Inbound), ShouldBeLessThanOrEqualTo, h.links.limit)
		})
	})
	Convey("the kernel buffers no more than the reserved bytes of a connection that nobody reads", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write(make([]byte, 8<<20))
		}()
		dial := newUpstream(&fakeLinks{granted: map[traffic.Direction]int{}}).dialer(transportKey{region: "Leinster"})
		conn, err := dial(context.Background(), "tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		raw, err := conn.(*targetConn).Conn.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		var last int32
		eventually(t, "the buffer is full", func() bool {
			before := last
			last = unread(t, raw)
			return last > 0 && last == before
		})
		So(last, ShouldBeLessThanOrEqualTo, reservedReceiveBytes)
	})
}

// unread returns the bytes in the receive buffer of a socket.
func unread(t *testing.T, raw syscall.RawConn) (n int32) {
	t.Helper()
	err := raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
		if errno != 0 {
			t.Error(errno)
		}
	})
	if err != nil {
		t.Error(err)
	}
	time.Sleep(20 * time.Millisecond)
	return n
}

// fullTarget returns the address of a listener whose accept queue is full, so
// that dials hang.
func fullTarget(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0))
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 20 {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the accept queue of the listener is not full after 20 connections")
	return ""
}

// Without a dial timeout, a dial that hangs takes up the whole timeout of a
// request that another target could answer.
func TestHangingDial(t *testing.T) {
	Convey("a dial that hangs counts as nothing sent, and another target answers", t, func() {
		spare := startTarget(t, standin.Config{})
		h := startHost(t, []string{fullTarget(t), spare.Address()})
		got := h.do("POST", "/s/bookings/rooms", newKey(), "room 4")
		So(got.status, ShouldEqual, 200)
		So(h.freed(2), ShouldResemble, []slots.Outcome{slots.OutcomeUnreachable, slots.OutcomeDone})
	})
}
