package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	hopCalls      = 3000   // requests on each path
	lookupCalls   = 40_000 // look-ups in total
	lookupStreams = 16     // concurrent callers
)

// hopCase compares the latency of requests through an entry host with that of direct
// requests to a target, sent alternately, and measures the look-up rate.
func hopCase(ctx context.Context, d deployment, policy string) ([]Row, error) {
	b, err := startTestbed(ctx, d, policy, nil)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	direct := "http://" + b.Targets[0].Address() + "/hop?work_ms=0"
	through := "http://" + b.entries()[0] + "/s/" + d.service + "/hop?work_ms=0"
	var a, h []time.Duration
	for range hopCalls {
		a = append(a, b.timed(ctx, direct))
		h = append(h, b.timed(ctx, through))
	}
	slices.Sort(a)
	slices.Sort(h)
	ratio := h[hopCalls/2].Seconds() / a[hopCalls/2].Seconds()
	rows := []Row{{d.name, "entry hop", policy, "median / direct median", fmt.Sprintf("%.2f (%s / %s)", ratio, h[hopCalls/2], a[hopCalls/2]),
		"at most 2", verdict(ratio <= 2)}}
	perCore, err := b.lookupsPerCore(ctx)
	if err != nil {
		return nil, err
	}
	return append(rows, Row{d.name, "look-ups", policy, "per second and core, caller and server in one process", fmt.Sprintf("%.0f", perCore), "", ""}), nil
}

// timed sends a GET request and returns the time until its response was read, or 0
// if it failed.
func (b *testbed) timed(ctx context.Context, url string) time.Duration {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(began)
}

// lookupsPerCore sends look-ups over keep-alive connections and returns their number
// per second of processor time that this process used.
func (b *testbed) lookupsPerCore(ctx context.Context) (float64, error) {
	url := "http://" + b.entries()[0] + "/v1/lookup?service=" + b.deployment.service
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	done := make(chan struct{})
	for range lookupStreams {
		go func() {
			for range lookupCalls / lookupStreams {
				b.timed(ctx, url)
			}
			done <- struct{}{}
		}()
	}
	for range lookupStreams {
		<-done
	}
	after, err := cpuTime()
	return lookupCalls / (after - before).Seconds(), err
}

// cpuTime returns the processor time that this process has used.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
