package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramLimit is the longest latency that histograms tell apart, in microseconds.
	histogramLimit = 120_000_000
	// requestTimeout ends a request that the system should have refused long before.
	requestTimeout = 30 * time.Second
)

// load is an open-loop Poisson arrival process over entry hosts.
type load struct {
	service  string
	entries  []string // HTTP addresses, used in turn
	rate     float64  // requests a second
	work     time.Duration
	method   string
	duration time.Duration
	warmUp   time.Duration // arrivals before this are not counted
	seed     uint64
	path     string
	headers  map[string]string
}

// tally is what a load run saw. Latencies are in microseconds.
type tally struct {
	mu          sync.Mutex
	sent        int
	done        int
	refused     int            // outcome not-run
	codes       map[string]int // of refusals
	unknown     int
	mayHaveRun  int                     // all answers but "not run", arrivals before the warm-up included
	failed      int                     // no answer
	wait        *hdrhistogram.Histogram // latency less work, of done requests
	latency     *hdrhistogram.Histogram // of done requests
	refusal     *hdrhistogram.Histogram // latency of refusals
	lastFailure time.Time               // last refusal or failure
}

func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramLimit, 3) }
	return &tally{codes: map[string]int{}, wait: h(), latency: h(), refusal: h()}
}

func newCaller() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// run sends the load and waits for all answers.
func (l *load) run(ctx context.Context, client *http.Client) *tally {
	t := newTally()
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	var wg sync.WaitGroup
	start := time.Now()
	next := start
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / l.rate * float64(time.Second)))
		if next.Sub(start) > l.duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		work := time.Duration(rnd.ExpFloat64() * float64(l.work)).Round(time.Millisecond)
		counted := next.Sub(start) >= l.warmUp
		entry := l.entries[i%len(l.entries)]
		wg.Go(func() { l.sendOne(ctx, client, t, entry, work, counted) })
	}
	wg.Wait()
	return t
}

func (l *load) sendOne(ctx context.Context, client *http.Client, t *tally, entry string, work time.Duration, counted bool) {
	url := fmt.Sprintf("http://%s/s/%s%s?work_ms=%d", entry, l.service, l.path, work.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, l.method, url, nil)
	if err != nil {
		return
	}
	for k, v := range l.headers {
		req.Header.Set(k, v)
	}
	began := time.Now()
	resp, err := client.Do(req)
	outcome, code := "", ""
	if err == nil {
		outcome = resp.Header.Get("Hornbeam-Outcome")
		if outcome == "not-run" {
			code = errorCode(resp.Body)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	t.add(outcome, code, err, time.Since(began), work, counted)
}

// errorCode reads the code of an error body.
func errorCode(r io.Reader) string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(r).Decode(&body) != nil {
		return "no code"
	}
	return body.Error.Code
}

func (t *tally) add(outcome, code string, err error, latency, work time.Duration, counted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if outcome != "not-run" {
		t.mayHaveRun++
	}
	if !counted {
		return
	}
	t.sent++
	switch {
	case err != nil:
		t.failed++
		t.lastFailure = time.Now()
	case outcome == "done":
		t.done++
		_ = t.latency.RecordValue(latency.Microseconds())
		_ = t.wait.RecordValue(max(0, (latency - work).Microseconds()))
	case outcome == "not-run":
		t.refused++
		t.codes[code]++
		t.lastFailure = time.Now()
		_ = t.refusal.RecordValue(latency.Microseconds())
	default:
		t.unknown++
		t.lastFailure = time.Now()
	}
}

// quantile returns a latency quantile, 0 < q < 100.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
