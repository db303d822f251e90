package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// testHost is an entry host with fake dependencies that sends requests to stand-in targets.
type testHost struct {
	t          testing.TB
	url        string
	address    string
	httpServer *HTTPServer
	permits    *fakePermits
	claims     *fakeClaims
	links      *fakeLinks
	zone       *fakeTargets
	client     *http.Client
	served     chan error
}

type hostOption func(*Config, *bundle.Service)

func startHost(t testing.TB, targets []string, options ...hostOption) *testHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &testHost{t: t, address: l.Addr().String(), url: "http://" + l.Addr().String(),
		permits: &fakePermits{targets: targets, region: "Munster", freed: make(chan slots.Outcome, 10000)},
		claims:  &fakeClaims{state: map[string]string{}, answers: map[string]*claim.Answer{}, finished: make(chan string, 10000)},
		links:   &fakeLinks{granted: map[traffic.Direction]int{}},
		zone:    &fakeTargets{}, served: make(chan error, 1)}
	tracing, err := telemetry.NewTracing("test", "host", "")
	if err != nil {
		t.Fatal(err)
	}
	service := bundle.Service{Name: "bookings", Slots: 4, Connections: 850, RequestTimeoutMs: 20_000,
		RepeatableMethods: []string{"GET", "HEAD", "PUT"}, BulkPrefixes: []string{"/export"}}
	c := Config{Listener: l, Host: "cork-a-1", Permits: h.permits, Claims: h.claims, Links: h.links,
		Lookups: fakeLookups{}, Targets: h.zone, Registry: metrics.NewRegistry(), Tracing: tracing,
		Log: log.New(panicWatch{t}), Retries: retry.Limits{Ratio: 0.1, Minimum: 1}}
	for _, o := range options {
		o(&c, &service)
	}
	c.Directory = fakeDirectory{service}
	if h.httpServer, err = NewHTTPServer(c); err != nil {
		t.Fatal(err)
	}
	h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	go func() { h.served <- h.httpServer.Serve(context.Background()) }()
	t.Cleanup(h.close)
	return h
}

func (h *testHost) close() {
	h.client.CloseIdleConnections()
	h.httpServer.server.Close()
	h.httpServer.forward.upstream.closeIdle()
}

func startTarget(t testing.TB, c standin.Config) *standin.Target {
	t.Helper()
	c.Service, c.Zone = "bookings", "cork-a"
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = 4
	}
	target, err := standin.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Kill)
	return target
}

// panicWatch is a log writer that fails the test when the HTTP server logs a
// panic of a handler or of its own.
type panicWatch struct{ t testing.TB }

func (p panicWatch) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		p.t.Errorf("%s", line)
	}
	return len(line), nil
}

// reply is the response that a caller got.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	err     error // of the request or of reading the body
	outcome string
	closes  bool // the host closes the connection
}

func (h *testHost) do(method, path, key, body string, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, h.url+path, reader)
	if err != nil {
		h.t.Error(err)
		return reply{err: err}
	}
	if key != "" {
		req.Header.Set(HeaderKey, key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, header: resp.Header, outcome: resp.Header.Get(HeaderOutcome), closes: resp.Close}
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// freed waits for n releases of permits and returns their outcomes.
func (h *testHost) freed(n int) []slots.Outcome {
	var out []slots.Outcome
	for range n {
		select {
		case o := <-h.permits.freed:
			out = append(out, o)
		case <-time.After(time.Minute):
			h.t.Error("no permit was released within a minute")
			return out
		}
	}
	return out
}

// eventually polls until the condition holds and fails the test after a minute.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("condition not met within a minute: %s", what)
}
