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
	// histogramLimit is the longest latency that the histograms record, in microseconds.
	histogramLimit = 120_000_000
	// requestTimeout is far above the deadlines of the load, so that it ends only
	// requests that the system should have refused long before.
	requestTimeout = 30 * time.Second
)

// load is an open-loop arrival process: requests arrive at entry hosts with
// exponential gaps, whether or not earlier ones have been answered.
type load struct {
	service  string
	entries  []string      // HTTP addresses, used round-robin
	rate     float64       // requests a second
	work     time.Duration // mean of the exponential work time
	method   string
	duration time.Duration
	warmUp   time.Duration // arrivals before this are not counted
	seed     uint64        // of arrival and work times
	path     string        // of the request below the service
	headers  map[string]string
}

// tally counts the results of a load run. Latencies are in microseconds.
type tally struct {
	mu          sync.Mutex
	sent        int
	done        int
	refused     int                     // outcome "not-run"
	codes       map[string]int          // number of refusals by error code
	unknown     int                     // any other outcome
	mayHaveRun  int                     // requests not answered "not-run", including arrivals during the warm-up
	failed      int                     // no complete answer
	wait        *hdrhistogram.Histogram // latency minus work time, of done requests
	latency     *hdrhistogram.Histogram // of done requests
	refusal     *hdrhistogram.Histogram // latency of refusals
	lastFailure time.Time               // last refusal or failure
}

// newTally returns an empty tally.
func newTally() *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramLimit, 3) }
	return &tally{codes: map[string]int{}, wait: h(), latency: h(), refusal: h()}
}

// newCaller returns an HTTP client that keeps enough idle connections for the load.
func newCaller() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// run sends requests for the duration of the load and waits for all answers.
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

// sendOne sends one request with the given work time and adds its result to t.
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

// errorCode returns the error code in a JSON error body.
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

// add counts the result of one request. Requests that are not counted only add to
// mayHaveRun.
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

// quantile returns the latency at percentile q, 0 < q < 100.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
