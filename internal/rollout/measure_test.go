package rollout

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// BenchmarkRollout measures the time from the acceptance of a version until a host
// has it in force, and the bytes that a host sends and receives for it. All hosts
// run in one process without network latency.
func BenchmarkRollout(b *testing.B) {
	for _, size := range []struct{ perZone, blocks int }{{4, 24}, {50, 24}, {4, 640_000}} {
		b.Run(fmt.Sprintf("hosts=%d/blocks=%d", 6*size.perZone, size.blocks), func(b *testing.B) {
			content := scaledIreland(b, size.perZone)
			content.Blocks = manyBlocks(content, size.blocks)
			f := newFleet(b, content)
			f.mustReach(b, f.accept())
			before := f.bytes()
			var delays []time.Duration
			changes := 0
			for b.Loop() {
				version := f.accept()
				accepted := time.Now()
				f.mustReach(b, version)
				changes++
				for _, h := range f.hosts {
					at, _ := h.inForce.Load(version)
					delays = append(delays, at.(time.Time).Sub(accepted))
				}
			}
			slices.Sort(delays)
			b.ReportMetric(ms(delays[len(delays)/2]), "p50-ms")
			b.ReportMetric(ms(delays[len(delays)*99/100]), "p99-ms")
			b.ReportMetric(ms(delays[len(delays)-1]), "max-ms")
			b.ReportMetric(float64(f.bytes()-before)/float64(len(f.hosts)*changes), "bytes/host/change")
		})
	}
}

// BenchmarkIdle measures the traffic of hosts that poll and report while no version
// is accepted.
func BenchmarkIdle(b *testing.B) {
	f := newFleet(b, example(b, "ireland.toml"))
	f.mustReach(b, f.accept())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, h := range f.hosts {
		go h.puller.Run(ctx)
	}
	time.Sleep(2 * controlPullInterval) // by now all connections are open
	before, start := f.bytes(), time.Now()
	for b.Loop() {
		time.Sleep(5 * time.Second)
	}
	b.ReportMetric(float64(f.bytes()-before)/float64(len(f.hosts))/time.Since(start).Seconds(), "bytes/host/s")
}

// BenchmarkHeldMemory measures the heap that a Holder uses for a large bundle after
// a series of small changes.
func BenchmarkHeldMemory(b *testing.B) {
	content := scaledIreland(b, 4)
	content.Blocks = manyBlocks(content, 640_000)
	all := versions(b, content, 20)
	content = nil
	before := heapBytes()
	var h *Holder
	for b.Loop() {
		h = NewHolder(operatorKeys)
		for _, signed := range all {
			if _, err := h.Put(signed); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "held-MiB")
	runtime.KeepAlive(h)
	runtime.KeepAlive(all)
}

// heapBytes returns the live heap in bytes.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// mustReach fails the benchmark unless all hosts report the version in time.
func (f *fleet) mustReach(b *testing.B, version uint64) {
	if missing := f.waitAcknowledged(version, testTimeout); len(missing) > 0 {
		b.Fatalf("version %d is not in force on %v", version, missing)
	}
}

// bytes returns the number of bytes that all entry hosts have sent and received.
func (f *fleet) bytes() int64 {
	var total int64
	for _, h := range f.hosts {
		total += h.server.Traffic().Total() + h.client.Traffic().Total()
	}
	return total
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// manyBlocks returns n caller blocks, distributed evenly over the zones of b.
func manyBlocks(b *bundle.Bundle, n int) []bundle.CallerBlock {
	blocks := make([]bundle.CallerBlock, n)
	for i := range blocks {
		blocks[i] = bundle.CallerBlock{Prefix: fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255), AvailabilityZone: b.Zones[i%len(b.Zones)].Name}
	}
	c := bundle.Bundle{Blocks: blocks}
	c.Canonicalize()
	return blocks
}
