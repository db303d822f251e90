package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, c Config) *Target {
	t.Helper()
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	c.Service, c.Zone, c.LeaveGrace = "bookings", "cork-a", time.Millisecond
	c.Slots = max(c.Slots, 1)
	target, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Kill)
	return target
}

func get(ctx context.Context, target *Target, path string, headers ...string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+target.Address()+path, nil)
	if err != nil {
		return nil, nil, err
	}
	req.Close = true
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// eventually polls condition until it holds and reports an error if it does not within
// about a minute.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("timed out waiting for: %s", what)
}

// Guards against wrong counters, which would hide from other tests that a target got
// more requests than it has slots or ran a request twice.
func TestCounts(t *testing.T) {
	Convey("Given a target with two slots on a zone address", t, func() {
		target := start(t, Config{Address: "127.1.0.5:0", Slots: 2})
		Convey("requests above its slots wait and are counted", func() {
			ctx, cancel := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for range 3 {
				callers.Go(func() { _, _, _ = get(ctx, target, "/?work_ms=60000", headerKey, "k") })
			}
			eventually(t, "three outstanding", func() bool { return target.Stats().Outstanding == 3 })
			So(target.Stats().AboveSlots, ShouldEqual, 1)
			So(target.Stats().Highest, ShouldEqual, 3)
			So(target.Stats().Runs["k"], ShouldEqual, 2)
			cancel()
			callers.Wait()
			eventually(t, "all cancelled", func() bool { return target.Stats().Cancelled == 3 })
		})
		Convey("stats are served", func() {
			_, _, err := get(context.Background(), target, "/x", headerKey, "k")
			So(err, ShouldBeNil)
			_, body, err := get(context.Background(), target, "/standin/stats")
			So(err, ShouldBeNil)
			var s Stats
			So(json.Unmarshal(body, &s), ShouldBeNil)
			So(s.Runs, ShouldResemble, map[string]int{"k": 1})
		})
	})
}

// Guards against a stand-in that breaks the target contract: tests of the request
// path would then prove nothing.
func TestTargetContract(t *testing.T) {
	past := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	Convey("work ends at the deadline", t, func() {
		target := start(t, Config{})
		resp, _, err := get(context.Background(), target, "/?work_ms=60000", headerDeadline, past)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, 504)
		So(target.Stats().Cancelled, ShouldEqual, 1)
	})
	Convey("a download is complete and has no deadline", t, func() {
		target := start(t, Config{Rate: 1 << 16})
		deadline := strconv.FormatInt(time.Now().Add(time.Second).UnixMilli(), 10) // the download takes 1.5 s
		_, body, err := get(context.Background(), target, "/?bytes=100000", headerDeadline, deadline)
		So(err, ShouldBeNil)
		want := make([]byte, 100000)
		Pattern(want, 0)
		So(bytes.Equal(body, want), ShouldBeTrue)
	})
	Convey("a leaving target finishes what is in flight", t, func() {
		target := start(t, Config{})
		done := make(chan error, 1)
		go func() { _, _, err := get(context.Background(), target, "/?work_ms=200"); done <- err }()
		eventually(t, "request in flight", func() bool { return target.Stats().Outstanding == 1 })
		So(target.Leave(context.Background()), ShouldBeNil)
		So(<-done, ShouldBeNil)
	})
}

// Guards against fault modes that do not have the documented effect, do not end, or
// affect health checks.
func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault Fault
		query string
		ok    func(resp *http.Response, body []byte, err error) bool
	}{
		{"close", Fault{Close: true}, "", func(_ *http.Response, _ []byte, err error) bool { return errors.Is(err, io.EOF) }},
		{"cut receipt", Fault{Cut: true}, "", func(_ *http.Response, b []byte, err error) bool {
			return errors.Is(err, io.ErrUnexpectedEOF) && len(b) > 0
		}},
		{"cut chunked", Fault{Cut: true}, "bytes=50000&chunked=1", func(_ *http.Response, b []byte, err error) bool {
			return errors.Is(err, io.ErrUnexpectedEOF) && len(b) == 25000
		}},
		{"late", Fault{LateMs: 1}, "", func(r *http.Response, _ []byte, err error) bool { return err == nil && r.StatusCode == 200 }},
		{"fail work", Fault{FailWork: true}, "", func(r *http.Response, _ []byte, err error) bool { return err == nil && r.StatusCode == 500 }},
		{"shed", Fault{Shed: true}, "", func(r *http.Response, _ []byte, err error) bool {
			return err == nil && r.StatusCode == 503 && r.Header.Get(headerShed) == "not-run"
		}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			target := start(t, Config{Fault: c.fault})
			So(c.ok(get(context.Background(), target, "/?"+c.query)), ShouldBeTrue)
			resp, _, err := get(context.Background(), target, "/standin/health")
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
		})
	}
	Convey("a fault ends after the given number of requests", t, func() {
		target := start(t, Config{Fault: Fault{FailWork: true, Times: 1}})
		first, _, _ := get(context.Background(), target, "/")
		second, _, _ := get(context.Background(), target, "/")
		So([]int{first.StatusCode, second.StatusCode}, ShouldResemble, []int{500, 200})
	})
	Convey("the fault ignore_cancel ignores cancellation", t, func() {
		target := start(t, Config{Fault: Fault{IgnoreCancel: true}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _, _, _ = get(ctx, target, "/?work_ms=300") }()
		eventually(t, "work started", func() bool { return target.Stats().Outstanding == 1 })
		cancel()
		<-done
		eventually(t, "work ended", func() bool { return target.Stats().Outstanding == 0 })
		So(target.Stats().UnkeyedRuns, ShouldEqual, 1)
		So(target.Stats().Cancelled, ShouldEqual, 0)
	})
	Convey("faults are set over HTTP, and invalid ones refused", t, func() {
		target := start(t, Config{})
		for body, status := range map[string]int{`{"shed":true}`: 200, `{"nap":true}`: 400, `{"load":"lazy"}`: 400} {
			resp, err := http.Post("http://"+target.Address()+"/standin/fault", "application/json", strings.NewReader(body))
			So(err, ShouldBeNil)
			resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, status)
		}
		So(target.Fault().Shed, ShouldBeTrue)
		http.DefaultClient.CloseIdleConnections()
	})
}

// announceLog starts an entry host that records the announcements it gets and answers
// each with status. It returns its address, a function that reads them, and its end.
func announceLog(status int) (string, func() []announcement, func()) {
	var mu sync.Mutex
	var got []announcement
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		mu.Lock()
		got = append(got, a)
		mu.Unlock()
		w.WriteHeader(status)
	}))
	read := func() []announcement { mu.Lock(); defer mu.Unlock(); return append([]announcement(nil), got...) }
	return strings.TrimPrefix(server.URL, "http://"), read, server.Close
}

// Guards against announcements that stop at an entry host that refuses them, are sent
// out of order, or follow the one of the departure.
func TestAnnouncements(t *testing.T) {
	Convey("Given an entry host that refuses and one that takes announcements", t, func() {
		bad, _, closeBad := announceLog(503)
		good, got, closeGood := announceLog(204)
		Reset(closeBad)
		Reset(closeGood)
		target := start(t, Config{Entries: []string{bad, good}, Interval: time.Millisecond, Fault: Fault{Load: LoadBusy}})
		eventually(t, "renewed", func() bool { return len(got()) >= 3 })

		Convey("the next entry host is tried, with rising sequence numbers and the load of the fault", func() {
			a := got()
			So(a[1].Sequence, ShouldBeGreaterThan, a[0].Sequence)
			So(a[0].Load, ShouldEqual, 1)
			So(a[0].State, ShouldEqual, "ready")
			So(target.Stats().AnnounceFails, ShouldEqual, 1)
		})
		Convey("the fault freeze stops announcements", func() {
			So(target.SetFault(Fault{Freeze: true}), ShouldBeNil)
			eventually(t, "announcements stop", func() bool {
				before := len(got())
				time.Sleep(50 * time.Millisecond)
				return len(got()) == before
			})
		})
		Convey("the departure is the last announcement", func() {
			So(target.Leave(context.Background()), ShouldBeNil)
			a := got()
			So(a[len(a)-1].State, ShouldEqual, "leaving")
		})
	})
}
