package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
)

// keyedRequest is one request with an idempotency key and the replies to its
// first send and its resend.
type keyedRequest struct {
	key           string
	first, resent reply
	gone          bool // the caller closed its connection during the first send
}

// chaos is one run with random faults of targets and callers.
type chaos struct {
	t       *testing.T
	h       *testHost
	targets []*standin.Target
	mu      sync.Mutex
	all     []keyedRequest
}

var randomFaults = []standin.Fault{
	{}, {}, {}, {Close: true, Times: 3}, {Cut: true, Times: 3}, {LateMs: 40, Times: 3}, {Shed: true, Times: 3},
	{FailWork: true, Times: 2}, {LateMs: 40, IgnoreCancel: true, Times: 3}, {Twice: true, Times: 2},
}

func (c *chaos) faults(r *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if n == 100 {
			c.targets[0].Kill()
		}
		if err := c.targets[r.IntN(len(c.targets))].SetFault(randomFaults[r.IntN(len(randomFaults))]); err != nil {
			c.t.Error(err)
		}
	}
}

func (c *chaos) caller(r *rand.Rand, requests int) {
	for range requests {
		s := keyedRequest{key: newKey()}
		path := fmt.Sprintf("/s/bookings/rooms?work_ms=%d&for=%s", r.IntN(4), s.key)
		headers := []string{}
		if r.IntN(3) == 0 {
			headers = []string{HeaderTimeout, fmt.Sprint(1 + r.IntN(30))}
		}
		if s.gone = r.IntN(8) == 0; s.gone {
			c.leave(path, s.key, time.Duration(r.IntN(6))*time.Millisecond)
		} else {
			s.first = c.h.do("POST", path, s.key, strings.Repeat("x", r.IntN(100_000)), headers...)
		}
		if s.gone || s.first.err != nil || s.first.outcome == OutcomeUnknown {
			s.resent = c.h.do("POST", path, s.key, "", HeaderResend, "true")
		}
		c.mu.Lock()
		c.all = append(c.all, s)
		c.mu.Unlock()
	}
}

// leave sends a request and closes the connection after the pause.
func (c *chaos) leave(path, key string, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), pause)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", c.h.url+path, strings.NewReader("x"))
	if err != nil {
		c.t.Error(err)
		return
	}
	req.Header.Set(HeaderKey, key)
	if resp, err := c.h.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func (c *chaos) runs(key string) int {
	n := 0
	for _, t := range c.targets {
		n += t.Stats().Runs[key]
	}
	return n
}

// check compares what the caller was told with what the targets ran.
func (c *chaos) check(s keyedRequest) {
	runs := c.runs(s.key)
	if runs > 1 {
		c.t.Errorf("key %s ran %d times, want at most once", s.key, runs)
	}
	for _, r := range []reply{s.first, s.resent} {
		switch r.outcome {
		case OutcomeNotRun:
			if runs > 0 {
				c.t.Errorf("key %s: caller was told \"not run\", but targets ran it %d times; caller gone: %t, first reply: %s, resend: %s %s", s.key, runs, s.gone, s.first.body, s.resent.outcome, s.resent.body)
			}
		case OutcomeDone, OutcomeReplayed:
			if r.status == http.StatusOK && r.err == nil && receipt(c.t, r.body).Query[len("work_ms=0&for="):] != s.key {
				c.t.Errorf("key %s: got the response of another key: %s", s.key, r.body)
			}
			if runs == 0 && r.status == http.StatusOK {
				c.t.Errorf("key %s: caller was told that the request ran, but no target ran it", s.key)
			}
		}
	}
}

// Under any combination of faults, a keyed request runs at most once, callers are
// told "not run" only of requests that did not run, and they get no response of
// another caller.
func TestRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		Convey(fmt.Sprintf("seed %d", seed), t, func() {
			c := &chaos{t: t}
			var addresses []string
			for i := range 6 {
				c.targets = append(c.targets, startTarget(t, standin.Config{Slots: 30, Seed: seed + uint64(i)}))
				addresses = append(addresses, c.targets[i].Address())
			}
			c.h = startHost(t, addresses)
			stop := make(chan struct{})
			var faults, callers sync.WaitGroup
			faults.Go(func() { c.faults(rand.New(rand.NewPCG(seed, 0)), stop) })
			for n := range 40 {
				callers.Go(func() { c.caller(rand.New(rand.NewPCG(seed, uint64(n+1))), 25) })
			}
			callers.Wait()
			close(stop)
			faults.Wait()
			eventually(t, "all requests ended", func() bool { return c.h.httpServer.InFlight() == 0 })
			outcomes := map[string]int{}
			for _, s := range c.all {
				c.check(s)
				outcomes[s.first.outcome]++
			}
			t.Logf("first outcomes: %v", outcomes)
			So(len(c.all), ShouldEqual, 1000)
			So(outcomes[OutcomeDone], ShouldBeGreaterThan, 0)
			So(outcomes[OutcomeNotRun], ShouldBeGreaterThan, 0)
			So(outcomes[OutcomeUnknown], ShouldBeGreaterThan, 0)
		})
	}
}
