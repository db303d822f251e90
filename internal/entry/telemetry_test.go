package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Guards against steps without a span or a metric, which cannot be identified as
// the cause of a slow request.
func TestTelemetry(t *testing.T) {
	Convey("a keyed request leaves one span for each step, in the caller's trace", t, func() {
		file := filepath.Join(t.TempDir(), "spans")
		tracing, err := telemetry.NewTracing("test", "host", file)
		So(err, ShouldBeNil)
		seen := make(chan http.Header, 1)
		address := rawTarget(t, func(_ int, conn net.Conn, r *http.Request) bool {
			seen <- r.Header
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			return true
		})
		h := startHost(t, []string{address}, func(c *Config, _ *bundle.Service) { c.Tracing = tracing })
		trace, key := "0af7651916cd43dd8448eb211c80319c", newKey()
		got := h.do("POST", "/s/bookings/rooms", key, "room 4", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01",
			"Connection", "X-Hop", "X-Hop", "1", "Hornbeam-Deadline", "1", "X-Kept", "yes")
		So(got.status, ShouldEqual, 200)
		header := <-seen
		So(header.Get("Traceparent"), ShouldStartWith, "00-"+trace)
		So(header.Get(HeaderKey), ShouldEqual, key)
		So(header.Get("X-Kept"), ShouldEqual, "yes")
		So(header.Get("X-Hop"), ShouldBeEmpty)
		So(len(header.Get(HeaderDeadline)), ShouldEqual, 13)
		eventually(t, "the request ended", func() bool { return h.httpServer.InFlight() == 0 })
		So(tracing.Shutdown(context.Background()), ShouldBeNil)
		spans, err := os.ReadFile(file)
		So(err, ShouldBeNil)
		for _, name := range []string{"entry.request", "entry.claim", "entry.permit", "entry.attempt"} {
			So(strings.Count(string(spans), `"Name":"`+name+`"`), ShouldEqual, 1)
		}
		So(strings.Count(string(spans), trace), ShouldBeGreaterThanOrEqualTo, 4)
	})
	Convey("requests, outcomes, refusals, retries and waits are counted", t, func() {
		bad := startTarget(t, standin.Config{Fault: standin.Fault{Close: true}})
		good := startTarget(t, standin.Config{})
		h := startHost(t, []string{bad.Address(), good.Address()})
		h.do("GET", "/s/bookings/x", "", "")
		h.do("GET", "/s/nowhere/x", "", "")
		eventually(t, "the requests ended", func() bool { return h.httpServer.InFlight() == 0 })
		var all map[string]map[string]float64
		So(json.Unmarshal(h.do("GET", "/metrics", "", "").body, &all), ShouldBeNil)
		for name, count := range map[string]float64{"entry.requests": 2, "entry.retries": 1, "entry.in_flight": 0,
			"entry.outcomes.done": 1, "entry.outcomes.not-run": 1, "entry.refusals.unknown-service": 1,
			"entry.attempts.broken": 1, "entry.permit_wait": 2, "entry.hop": 1} {
			So(all[name]["count"], ShouldEqual, count)
		}
	})
}
