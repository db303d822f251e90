package replica

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkPropose measures the time from a proposal to its result, with three
// hosts on loopback and real disks.
func BenchmarkPropose(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	c.startAll()
	ctx := context.Background()
	c.propose(ctx, "first")
	for i := 0; b.Loop(); i++ {
		c.propose(ctx, fmt.Sprint(i))
	}
}

// BenchmarkFailover measures the time from the stop of the leader to the next accepted command.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	c.startAll()
	ctx := context.Background()
	c.propose(ctx, "first")
	var worst time.Duration
	for b.Loop() {
		old := c.leader().name
		start := time.Now()
		c.stop(old)
		c.propose(ctx, "next")
		worst = max(worst, time.Since(start))
		b.StopTimer()
		c.start(old)
		time.Sleep(2 * time.Second) // until the restarted host follows and no longer refuses votes
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
