package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// setTimeouts sets the timeout of all routes.
func (f *fixture) setTimeouts(d time.Duration) {
	routes := f.gateway.view.current().Routes
	for i := range routes {
		routes[i].Timeout = d
	}
}

// stop begins a shutdown and returns a channel that is closed at its end.
func (f *fixture) stop(limit time.Duration) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.gateway.Stop(limit)
	}()
	for !f.gateway.stopping() {
		time.Sleep(time.Millisecond)
	}
	return stopped
}

// Guards against requests that are taken during a planned stop although they may last
// longer than the rest of it, and that are then cut off without an answer: those that must
// not be repeated are lost (issue 28, second report).
func TestStopTakesOnlyWhatItCanFinish(t *testing.T) {
	for _, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
		t.Run(kind.String(), func(t *testing.T) {
			f := newFixture(t, ok)
			path := "/" + kind.String() + "/x"
			f.setTimeouts(time.Second)
			f.stop(4 * time.Second)
			if r, body := f.do("GET", path, "1", ""); r.StatusCode != 200 {
				t.Errorf("a request that ends in time got %d %q, want 200", r.StatusCode, body)
			}
			f.setTimeouts(10 * time.Second) // the caller allows 5 s
			r, body := f.do("GET", path, "2", "")
			if r.StatusCode != 503 || r.Header.Get("Retry-After") != "0" {
				t.Errorf("a request that may outlast the stop got %d %q with Retry-After %q, want 503 and 0", r.StatusCode, body, r.Header.Get("Retry-After"))
			}
			if read := ids(f.targets[0]); len(read) != 1 {
				t.Errorf("the target read %v, want only 1", read)
			}
		})
	}
}

// Guards against a request that waits for earlier answers on its connection and is passed
// on so late in a planned stop that it is cut off.
func TestStopStartsNoWaitingRequestTooLate(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(target *nettest.Target, c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "1" {
			<-release
		}
		ok(target, c, r)
	})
	f.setTimeouts(10 * time.Second)
	conn, br := f.dial()
	fmt.Fprint(conn, request("GET", "/safe/x", "1", "")+request("POST", "/unsafe/x", "2", ""))
	for len(ids(f.targets[0])) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.stop(3 * time.Second)
	close(release)
	if r, _ := f.read(br); r.StatusCode != 200 {
		t.Errorf("the request in flight got %d, want 200", r.StatusCode)
	}
	if r, body := f.read(br); r.StatusCode != 503 {
		t.Errorf("the waiting request got %d %q, want 503", r.StatusCode, body)
	}
	if read := ids(f.targets[0]); len(read) != 1 {
		t.Errorf("the target read %v, want only 1", read)
	}
}

// Guards against a short grace time, during all of which requests are accepted.
func TestShortStopEndsAcceptance(t *testing.T) {
	f := newFixture(t, ok)
	conn, br := f.dial()
	begun := time.Now()
	<-f.stop(time.Second)
	if took := time.Since(begun); took < 400*time.Millisecond {
		t.Errorf("the stop took %s, want requests to be accepted for half of the time", took)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // the policy's idle timeout is longer
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want EOF", err)
	}
	fmt.Fprint(conn, request("GET", "/safe/x", "1", ""))
	if _, err := net.Dial("tcp", f.front); err == nil {
		t.Error("a connection was accepted after the stop")
	}
	if read := ids(f.targets[0]); len(read) != 0 {
		t.Errorf("the target read %v after the end of acceptance", read)
	}
}
