package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
)

// drainFreed empties the fakes' channels until ctx ends, so that they do not fill up.
func (h *testHost) drainFreed(ctx context.Context) {
	go func() {
		for {
			select {
			case <-h.permits.freed:
			case <-h.claims.finished:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// timedGet returns the time of one GET, including the body.
func timedGet(b *testing.B, client *http.Client, url string) time.Duration {
	start := time.Now()
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	resp.Body.Close()
	return time.Since(start)
}

func median(d []time.Duration) float64 {
	slices.Sort(d)
	return float64(d[len(d)/2].Microseconds())
}

// BenchmarkHop alternates direct requests with requests through the entry host
// and compares the median times.
func BenchmarkHop(b *testing.B) {
	target := startTarget(b, standin.Config{})
	h := startHost(b, []string{target.Address()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.drainFreed(ctx)
	direct, hop := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
	for b.Loop() {
		direct = append(direct, timedGet(b, h.client, "http://"+target.Address()+"/rooms"))
		hop = append(hop, timedGet(b, h.client, h.url+"/s/bookings/rooms"))
	}
	d, through := median(direct), median(hop)
	b.ReportMetric(d, "direct-median-µs")
	b.ReportMetric(through, "hop-median-µs")
	b.ReportMetric(through-d, "added-median-µs")
}

// discardWriter is a response writer without a connection.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}

// BenchmarkForward measures the request path without the caller's connection.
// The allocations include those of net/http's transport and of the target in this process.
func BenchmarkForward(b *testing.B) {
	address := rawTarget(b, rawOK)
	h := startHost(b, []string{address})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.drainFreed(ctx)
	r, err := http.NewRequest("GET", h.url+"/s/bookings/rooms", http.NoBody)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.httpServer.forward.ServeHTTP(&discardWriter{http.Header{}}, r)
	}
}

// BenchmarkTransport measures the part of BenchmarkForward that net/http and the
// target take.
func BenchmarkTransport(b *testing.B) {
	address := rawTarget(b, rawOK)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		timedGet(b, client, "http://"+address+"/rooms")
	}
}
