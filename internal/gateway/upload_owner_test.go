package gateway

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// uploads is the number of requests of TestUploadsAreNeverMixed. The long run has 200,000.
var uploads = flag.Int("uploads", 1500, "uploads that TestUploadsAreNeverMixed sends")

const (
	uploadCallers = 24
	largestUpload = 2 << 20 // bytes
	idLength      = 8       // of the ids of these uploads
)

// bodyOf returns a body that names its request throughout.
func bodyOf(id string, size int) []byte {
	return bytes.Repeat([]byte(id), size/len(id)+1)[:size]
}

// bodyCheck counts the uploads that arrived, and those with bytes that are not their own.
type bodyCheck struct {
	t       *testing.T
	arrived atomic.Int64
	foreign atomic.Int64
}

// read reads the body of a request and checks it. It returns an error if the body does not
// arrive whole, as when its caller leaves.
func (c *bodyCheck) read(r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("Id")
	if !bytes.Equal(body, bodyOf(id, len(body))) {
		c.foreign.Add(1)
		c.t.Errorf("request %s got foreign bytes among the %d of its body, error %v", id, len(body), err)
	}
	if err == nil && strconv.Itoa(len(body)) != r.Header.Get("Size") {
		c.foreign.Add(1)
		c.t.Errorf("request %s got a whole body of %d bytes, its caller sent %s", id, len(body), r.Header.Get("Size"))
	}
	if err == nil {
		c.arrived.Add(1)
	}
	return err
}

// serveUploads answers the requests on a connection with act until that returns false.
func serveUploads(conn net.Conn, act func(net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil || !act(conn, r) {
			return
		}
	}
}

// startTarget starts a target that checks the bodies it gets and returns its address. Now and
// then it answers before the body.
func (c *bodyCheck) startTarget() string {
	return c.listen(func(conn net.Conn, r *http.Request) bool {
		if rand.IntN(20) == 0 {
			answer(conn, http.StatusForbidden, r.Header.Get("Id"), "no")
			return c.read(r) == nil // and reads on later
		}
		if c.read(r) != nil {
			return false
		}
		answer(conn, http.StatusOK, r.Header.Get("Id"), "ok")
		return rand.IntN(20) > 0
	})
}

// startRelay starts a relay that takes requests, turns them away for each of its reasons,
// answers before the body, and closes, and returns its address.
func (c *bodyCheck) startRelay() string {
	refusals := []relay.Outcome{relay.Busy, relay.Busy, relay.Busy, relay.Unreached, relay.Leaving, relay.Paused}
	return c.listen(func(conn net.Conn, r *http.Request) bool {
		id, streamed := r.Header.Get("Id"), r.Header.Get(relay.HeaderStream) != ""
		choice := rand.IntN(20)
		if choice < 12 {
			if !streamed && c.read(r) != nil {
				return false
			}
			answer(conn, http.StatusBadGateway, id, "", relay.HeaderOutcome+": "+string(refusals[choice%len(refusals)]))
			return true
		}
		if choice == 12 {
			return false
		}
		if streamed {
			fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		switch choice {
		case 13:
			return false
		case 14:
			answer(conn, http.StatusForbidden, id, "no", "Connection: close")
			_ = c.read(r) // what is still sent before the other side learns of the close
			return false
		case 15:
			answer(conn, http.StatusBadGateway, id, "", relay.HeaderOutcome+": "+string(relay.Broken), "Connection: close")
			return false
		}
		if c.read(r) != nil {
			return false
		}
		if streamed {
			answer(conn, http.StatusOK, id, "ok", "Connection: close")
			return false
		}
		answer(conn, http.StatusOK, id, "ok")
		return true
	})
}

func (c *bodyCheck) listen(act func(net.Conn, *http.Request) bool) string {
	l := nettest.Listen(c.t)
	c.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveUploads(conn, act)
		}
	}()
	return l.Addr().String()
}

// uploader sends uploads one after the other, on kept connections to the gateway.
type uploader struct {
	t     *testing.T
	front string
	conn  net.Conn
	br    *bufio.Reader
}

// send sends one upload and checks that the answer is its own. One in ten callers leaves in
// the middle of the body.
func (u *uploader) send(id string) {
	if u.conn == nil {
		conn, err := net.Dial("tcp", u.front)
		if err != nil {
			u.t.Error(err)
			return
		}
		u.conn, u.br = conn, bufio.NewReader(conn)
	}
	size := int(math.Exp(rand.Float64() * math.Log(largestUpload)))
	body := bodyOf(id, size)
	kind := []policy.Kind{policy.Unsafe, policy.Safe}[rand.IntN(2)]
	_ = u.conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(u.conn, "POST /%s/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nObject: %s\r\nLeft: 5000\r\nSize: %d\r\n", kind, id, id, size)
	conn, leaves := u.conn, rand.IntN(10) == 0
	if leaves {
		body = body[:rand.IntN(size+1)]
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		writeUpload(conn, body, size)
	}()
	if leaves && len(body) < size {
		<-done
		u.drop()
		return
	}
	r, err := http.ReadResponse(u.br, nil)
	if err != nil {
		u.drop()
		<-done
		return
	}
	if got := r.Header.Get("Id"); got != id {
		u.t.Errorf("request %s got the answer to %q", id, got)
	}
	_, err = io.ReadAll(r.Body)
	if err != nil || r.Close {
		u.drop()
	}
	<-done
}

// writeUpload writes a body, with a length or in chunks, which the caller may cut short.
func writeUpload(conn net.Conn, body []byte, size int) {
	if rand.IntN(2) == 0 {
		fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", size, body)
		return
	}
	fmt.Fprint(conn, "Transfer-Encoding: chunked\r\n\r\n")
	whole := len(body) == size
	for len(body) > 0 {
		n := min(len(body), 30_000)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
	if whole {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

func (u *uploader) drop() {
	_ = u.conn.Close()
	u.conn = nil
}

// Guards against an upload that runs with bytes of another caller's body, whatever its relay
// and its target do with it (review case 11).
func TestUploadsAreNeverMixed(t *testing.T) {
	check := &bodyCheck{t: t}
	f := newFixture(t)
	f.gateway.view.current().Limits.BodyBytes = 2 * largestUpload
	for i := range f.gateway.view.current().Routes {
		f.gateway.view.current().Routes[i].Timeout = 10 * time.Second
	}
	for i := range 3 {
		f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
			Name: fmt.Sprint("t", i), Life: 1, Sequence: 1, Service: "s", Address: check.startTarget(), Zone: "z1", Slots: 60}})
	}
	f.relayAt(check.startRelay())
	stay := make(chan struct{})
	defer close(stay)
	go keepRelay(f, stay)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range uploadCallers {
		wg.Go(func() {
			u := &uploader{t: t, front: f.front}
			for n := next.Add(1); n <= int64(*uploads); n = next.Add(1) {
				u.send(fmt.Sprintf("%0*d", idLength, n))
			}
			if u.conn != nil {
				u.drop()
			}
		})
	}
	wg.Wait()
	if check.foreign.Load() > 0 || check.arrived.Load() < int64(*uploads)/4 {
		t.Errorf("%d uploads, %d bodies read whole, %d with foreign bytes", *uploads, check.arrived.Load(), check.foreign.Load())
	}
	t.Logf("%d uploads, %d bodies read whole by the relay or a target", *uploads, check.arrived.Load())
}

// keepRelay keeps the gateway's relay in use, as the answers of its host would.
func keepRelay(f *fixture, stay <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stay:
			return
		case <-ticker.C:
		}
		w := f.gateway.watch
		w.mu.Lock()
		w.controls["c"].lastAnswer = w.now()
		w.mu.Unlock()
	}
}
