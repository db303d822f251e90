package entry

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
)

const goodAnnouncement = `{"service":"bookings","address":"127.1.0.5:9000","zone":"cork-a","incarnation":1,` +
	`"sequence":1,"slots":4,"connections":850,"state":"ready","load":0.5}`

func announcementWith(old, new string) string { return strings.Replace(goodAnnouncement, old, new, 1) }

// Lax checks of announcements would let a broken target receive requests.
func TestRoutes(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"look-up", "GET", "/v1/lookup?service=bookings", "", 200, ""},
		{"look-up of nothing", "GET", "/v1/lookup", "", 400, CodeInvalidRequest},
		{"look-up of an unknown service", "GET", "/v1/lookup?service=x", "", 404, CodeUnknownCaller},
		{"look-up by POST", "POST", "/v1/lookup?service=bookings", "", 405, CodeMethodNotAllowed},
		{"announcement", "POST", "/v1/targets", goodAnnouncement, 204, ""},
		{"announcement with an unknown field", "POST", "/v1/targets", announcementWith(`"load"`, `"mood":1,"load"`), 400, CodeInvalidRequest},
		{"announcement with a field given twice", "POST", "/v1/targets", announcementWith(`"load"`, `"slots":9,"load"`), 400, CodeInvalidRequest},
		{"announcement with a field in another case", "POST", "/v1/targets", announcementWith(`"load"`, `"Slots":9,"load"`), 400, CodeInvalidRequest},
		{"two announcements", "POST", "/v1/targets", goodAnnouncement + goodAnnouncement, 400, CodeInvalidRequest},
		{"announcement that is too long", "POST", "/v1/targets", goodAnnouncement + strings.Repeat(" ", maxAnnouncement), 400, CodeInvalidRequest},
		{"announcement without slots", "POST", "/v1/targets", announcementWith(`"slots":4`, `"slots":0`), 400, CodeInvalidRequest},
		{"announcement of a name", "POST", "/v1/targets", announcementWith("127.1.0.5:9000", "localhost:9000"), 400, CodeInvalidRequest},
		{"announcement for another zone", "POST", "/v1/targets", announcementWith("cork-a", "galle-a"), 409, CodeRefusedTarget},
		{"announcement without a coordinator", "POST", "/v1/targets", announcementWith("cork-a", "lost"), 503, CodeInternal},
		{"leave", "POST", "/v1/targets/leave", announcementWith("ready", "leaving"), 204, ""},
		{"leave that is ready", "POST", "/v1/targets/leave", goodAnnouncement, 400, CodeInvalidRequest},
		{"unknown path", "GET", "/debug/pprof/", "", 404, CodeNotFound},
		{"unknown service", "GET", "/s/x/y", "", 404, CodeUnknownService},
		{"key that is no UUIDv7", "POST", "/s/bookings/rooms", "k", 400, CodeInvalidKey},
		{"live", "GET", "/livez", "", 200, ""},
		{"ready", "GET", "/readyz", "", 200, ""},
		{"metrics", "GET", "/metrics", "", 200, ""},
	}
	target := startTarget(t, standin.Config{})
	h := startHost(t, []string{target.Address()})
	for _, c := range cases {
		Convey(c.name, t, func() {
			key := ""
			if c.code == CodeInvalidKey {
				key = "9a0d9f2c-0f0e-4c55-8a4f-111111111111" // version 4
			}
			got := h.do(c.method, c.path, key, c.body)
			So(got.status, ShouldEqual, c.status)
			if c.code != "" {
				So(problem(t, got.body).Code, ShouldEqual, c.code)
				So(got.outcome, ShouldEqual, OutcomeNotRun)
			}
		})
	}
	Convey("a host without a bundle is not ready", t, func() {
		h := startHost(t, nil, func(c *Config, _ *bundle.Service) { c.Ready = func() error { return errors.New("no bundle") } })
		So(h.do("GET", "/readyz", "", "").status, ShouldEqual, 503)
	})
	Convey("a header beyond the limit is refused", t, func() {
		got := h.do("GET", "/s/bookings/x", "", "", "X-Long", strings.Repeat("x", maxRequestHeader+8<<10))
		So(got.status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
	Convey("no slot means Retry-After in whole seconds and milliseconds", t, func() {
		h := startHost(t, nil)
		got := h.do("POST", "/s/bookings/rooms", newKey(), "room 4")
		So(got.status, ShouldEqual, 503)
		So(got.header.Get("Retry-After"), ShouldEqual, "2")
		So(problem(t, got.body), ShouldResemble, problemFields{CodeBusy, OutcomeNotRun, "no slot becomes free before the deadline", 1500})
		So(<-h.claims.finished, ShouldEqual, "released")
	})
}

// The refusal of a claim must reach the caller with the outcome that the claim
// stores returned.
func TestClaimRefusals(t *testing.T) {
	for outcome, status := range map[string]int{OutcomeNotRun: 503, OutcomeUnknown: 409, OutcomeInProgress: 409} {
		Convey("claim refused: "+outcome, t, func() {
			h := startHost(t, nil)
			h.claims.err = &ClaimRefusedError{Outcome: outcome, Code: "c", Message: "m", RetryAfter: time.Second}
			got := h.do("POST", "/s/bookings/rooms", newKey(), "room 4")
			So(got.status, ShouldEqual, status)
			So(got.outcome, ShouldEqual, outcome)
			So(problem(t, got.body), ShouldResemble, problemFields{"c", outcome, "m", 1000})
		})
	}
	Convey("a refused claim of a resend does not say that nothing ran", t, func() {
		h := startHost(t, nil)
		h.claims.err = &ClaimRefusedError{Outcome: OutcomeNotRun, Code: "claim-no-quorum"}
		So(h.do("POST", "/s/bookings/rooms", newKey(), "").outcome, ShouldEqual, OutcomeNotRun)
		So(h.do("POST", "/s/bookings/rooms", newKey(), "", HeaderResend, "true").outcome, ShouldEqual, OutcomeUnknown)
		h.claims.err = nil // no target: the claim is granted and released
		key := newKey()
		So(h.do("POST", "/s/bookings/rooms", key, "", HeaderResend, "true").outcome, ShouldEqual, OutcomeUnknown)
		So(h.claims.of(key), ShouldEqual, "released")
		So(h.do("POST", "/s/bookings/rooms", "", "", HeaderResend, "true").outcome, ShouldEqual, OutcomeNotRun)
	})
	Convey("an error of the claim itself leaves the outcome unknown, as an earlier send may have run", t, func() {
		h := startHost(t, nil)
		h.claims.err = errors.New("stores do not answer")
		So(h.do("POST", "/s/bookings/rooms", newKey(), "").outcome, ShouldEqual, OutcomeUnknown)
	})
	Convey("an answer that was too large to keep is not replayed as a short one", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})
		key := newKey()
		first := h.do("POST", "/s/bookings/rooms?bytes=70000", key, "")
		So(len(first.body), ShouldEqual, 70000)
		again := h.do("POST", "/s/bookings/rooms?bytes=70000", key, "")
		So(again.status, ShouldEqual, http.StatusGone)
		So(again.outcome, ShouldEqual, OutcomeDone)
		So(target.Stats().Runs[key], ShouldEqual, 1)
	})
}

// Without the retry budget, failing targets get twice the load.
func TestRetryBudgetUsedUp(t *testing.T) {
	Convey("two retries are allowed, the third failure is passed on", t, func() {
		bad := startTarget(t, standin.Config{Fault: standin.Fault{Close: true}})
		good := startTarget(t, standin.Config{})
		now := time.Now()
		h := startHost(t, []string{bad.Address(), good.Address()}, func(c *Config, _ *bundle.Service) {
			c.Retries, c.Now = retry.Limits{Minimum: 0.2}, func() time.Time { return now }
		})
		var statuses []int
		for range 3 {
			h.permits.next = 0
			statuses = append(statuses, h.do("GET", "/s/bookings/x", "", "").status)
		}
		So(statuses, ShouldResemble, []int{200, 200, 502})
		So(good.Stats().Received, ShouldEqual, 2)
	})
}
