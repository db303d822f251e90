package claims

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// BenchmarkClaim measures Begin and Finish over three stores with synced files,
// with 1 and with 64 concurrent requests.
func BenchmarkClaim(b *testing.B) {
	for _, load := range []int{1, 64} {
		b.Run(fmt.Sprintf("concurrent-%d", load), func(b *testing.B) {
			c, logs := startWALCluster(b)
			cl := c.client("entry")
			ctx := context.Background()
			var begin atomic.Int64
			b.SetParallelism(max(1, load/runtime.GOMAXPROCS(0)))
			if load == 1 {
				b.SetParallelism(1)
			}
			start := logs[0].bytes()
			b.ResetTimer()
			one := func() {
				at := time.Now()
				h, _, err := cl.Begin(ctx, "bookings", newKey())
				begin.Add(int64(time.Since(at)))
				if err != nil {
					b.Error(err)
					return
				}
				h.Finish(answer("booked"))
			}
			if load == 1 {
				for range b.N {
					one()
				}
			} else {
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						one()
					}
				})
			}
			b.StopTimer()
			_ = cl.Drain(ctx)
			b.ReportMetric(float64(begin.Load())/float64(b.N)/1e6, "begin-ms")
			b.ReportMetric(float64(logs[0].bytes()-start)/float64(b.N), "disk-B/claim")
		})
	}
}

// BenchmarkRecordMemory measures the memory of a record with a small answer and three header fields.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := claim.NewRegister()
		now := time.Now()
		for i := range records {
			k, _ := claim.ParseKey("bookings", newKey())
			a := claim.Attempt{Host: "lk-west-a-1", Incarnation: "0190163d-8694-739b-aea5-966c26f8ad91", Counter: uint64(i)}
			r.Vote(now, k, a)
			answer := answer("0123456789abcdef0123456789abcdef")
			answer.Header = map[string][]string{"Content-Type": {"application/json"}, "Date": {"Fri, 04 Dec 2026 07:00:00 GMT"}, "Etag": {"\"1\""}}
			encoded, _ := answer.Encode()
			r.Finish(now, k, a, encoded)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(r)
	}
}
