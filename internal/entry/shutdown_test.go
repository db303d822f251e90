package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// stepLog is a Membership that records the steps of a shutdown in order.
type stepLog struct {
	mu    sync.Mutex
	steps []string
}

func (s *stepLog) add(step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, step)
}

func (s *stepLog) read() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.steps)
}

func (s *stepLog) Leave()                       { s.add("leave") }
func (s *stepLog) Resign(context.Context) error { s.add("resign"); return nil }

// shortTimeouts makes every time limit shorter than the download of the test.
func shortTimeouts(c *Config, s *bundle.Service) {
	const short = 500 * time.Millisecond
	c.Timeouts = Timeouts{Control: short, ReadHeader: short, CallerIdle: short, CallerStall: DefaultTimeouts.CallerStall}
	s.RequestTimeoutMs = int(short.Milliseconds())
}

// Guards against a planned stop that cuts off a download, which R7 forbids.
func TestShutdown(t *testing.T) {
	Convey("Given a download in flight that takes longer than every timeout", t, func() {
		const size = 1 << 20
		target := startTarget(t, standin.Config{Rate: 1 << 20})
		h := startHost(t, []string{target.Address()}, shortTimeouts)
		resp, err := h.client.Get(fmt.Sprintf("%s/s/bookings/export?bytes=%d&chunked=1", h.url, size))
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		steps := &stepLog{}
		paused, resume := make(chan struct{}), make(chan struct{})
		pause := func(ctx context.Context, d time.Duration) error {
			steps.add("pause " + d.String())
			close(paused)
			select {
			case <-resume:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		shutdown := &Shutdown{HTTPServer: h.httpServer, Membership: steps, Pause: pause, Log: h.httpServer.config.Log}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- shutdown.Run(ctx) }()
		<-paused

		Convey("it goes on serving, then finishes the download, then resigns", func() {
			ready := h.do("GET", "/readyz", "", "")
			So(ready.status, ShouldEqual, 503)
			served := h.do("POST", "/s/bookings/rooms", "", "room 4")
			So(served.status, ShouldEqual, 200)
			So(served.closes, ShouldBeTrue)
			close(resume)
			eventually(t, "listener closed", func() bool {
				conn, err := net.Dial("tcp", h.address)
				if err == nil {
					conn.Close()
				}
				return err != nil
			})
			So(steps.read(), ShouldResemble, []string{"leave", "pause 6s"})
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(bytes.Equal(body, pattern(size)), ShouldBeTrue)
			So(<-ended, ShouldBeNil)
			So(steps.read(), ShouldResemble, []string{"leave", "pause 6s", "resign"})
			So(h.httpServer.InFlight(), ShouldEqual, 0)
			So(<-h.served, ShouldBeNil)
		})
		Convey("it is cut short only by its context, and says how many requests were in flight", func() {
			cancel()
			So((<-ended).Error(), ShouldContainSubstring, "1 requests in flight")
		})
	})
	Convey("the pause ends with its context", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(PauseFor(ctx, time.Hour), ShouldEqual, context.Canceled)
		So(PauseFor(context.Background(), time.Nanosecond), ShouldBeNil)
	})
}

// A request whose response has not begun must also be completed during a shutdown.
func TestShutdownWaitsForResponse(t *testing.T) {
	Convey("a request whose response has not begun is answered", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		got := make(chan reply, 1)
		go func() { got <- h.do("POST", "/s/bookings/rooms?work_ms=300", newKey(), "room 4") }()
		eventually(t, "work started", func() bool { return target.Stats().Outstanding == 1 })
		shutdown := &Shutdown{HTTPServer: h.httpServer, Membership: &stepLog{}, Log: h.httpServer.config.Log,
			Pause: func(context.Context, time.Duration) error { return nil }}
		So(shutdown.Run(context.Background()), ShouldBeNil)
		r := <-got
		So(r.err, ShouldBeNil)
		So(r.status, ShouldEqual, http.StatusOK)
	})
}

// Callers with open connections must be told "Connection: close" before the host
// closes their connections.
func TestShutdownUnderLoad(t *testing.T) {
	Convey("50 callers that stay until told to close lose no request", t, func() {
		target := startTarget(t, standin.Config{Slots: 100})
		h := startHost(t, []string{target.Address()})
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() {
				for n := 0; ; n++ {
					r := h.do("POST", "/s/bookings/rooms?work_ms=5", newKey(), "room 4")
					if r.err != nil || r.status != http.StatusOK {
						t.Errorf("request %d: got status %d, error %v and body %s; want status 200", n, r.status, r.err, r.body)
						return
					}
					if r.closes {
						return
					}
				}
			})
		}
		eventually(t, "all callers at work", func() bool { return target.Stats().Completed > 500 })
		shutdown := &Shutdown{HTTPServer: h.httpServer, Membership: &stepLog{}, Log: h.httpServer.config.Log,
			Pause: func(context.Context, time.Duration) error { callers.Wait(); return nil }}
		So(shutdown.Run(context.Background()), ShouldBeNil)
		So(<-h.served, ShouldBeNil)
	})
}
