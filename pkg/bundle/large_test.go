package bundle

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
)

// sizes holds the numbers of caller blocks in the benchmarks; 640,000 is the
// planned number.
var sizes = []int{10_000, 100_000, 640_000}

// largeText returns the Ireland example with n caller blocks, grouped by
// availability zone or one by one.
func largeText(tb testing.TB, n int, grouped bool) []byte {
	tb.Helper()
	text, err := os.ReadFile("../../examples/ireland.toml")
	if err != nil {
		tb.Fatal(err)
	}
	base, _, _ := strings.Cut(string(text), "[[blocks]]")
	zones := []string{"cork-a", "limerick-b", "dublin-a", "kilkenny-b", "galway-a", "sligo-b"}
	var out strings.Builder
	out.WriteString(base)
	perZone := (n + len(zones) - 1) / len(zones)
	for i := range n {
		zone := zones[i/perZone]
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255)
		switch {
		case !grouped:
			fmt.Fprintf(&out, "[[block]]\nprefix = %q\nzone = %q\n", prefix, zone)
		case i%perZone == 0:
			if i > 0 {
				out.WriteString("]\n")
			}
			fmt.Fprintf(&out, "[[blocks]]\nzone = %q\nprefixes = [\n%q,\n", zone, prefix)
		default:
			fmt.Fprintf(&out, "%q,\n", prefix)
		}
	}
	if grouped {
		out.WriteString("]\n")
	}
	return []byte(out.String())
}

func largeBundle(tb testing.TB, n int) *Bundle {
	tb.Helper()
	b, found := Parse("large.toml", largeText(tb, n, true))
	if len(found) > 0 {
		tb.Fatal(found[0])
	}
	return b
}

// smallChange returns the next version with one service and three blocks changed.
func smallChange(b *Bundle) *Bundle {
	next := *b
	next.Version++
	next.Services = append([]Service(nil), b.Services...)
	next.Services[0].RequestTimeoutMs++
	next.Blocks = append([]CallerBlock(nil), b.Blocks...)
	for i := range 3 {
		next.Blocks[i*len(next.Blocks)/3].AvailabilityZone = "sligo-b"
	}
	return &next
}

// bySize runs a benchmark with each of the sizes.
func bySize(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

func BenchmarkParseGrouped(b *testing.B) {
	bySize(b, func(b *testing.B, n int) { benchmarkParse(b, largeText(b, n, true)) })
}

func BenchmarkParseSingle(b *testing.B) {
	bySize(b, func(b *testing.B, n int) { benchmarkParse(b, largeText(b, n, false)) })
}

func benchmarkParse(b *testing.B, text []byte) {
	b.ReportMetric(float64(len(text)), "file-bytes")
	for b.Loop() {
		if _, found := Parse("large.toml", text); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
}

func BenchmarkCheckContent(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		for b.Loop() {
			CheckContent("large", large)
		}
	})
}

func BenchmarkCheckChange(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		next := smallChange(large)
		next.Blocks[1].Prefix = "9.0.0.0/8"
		next.Canonicalize()
		for b.Loop() {
			if found := Check(next, large); len(found) > 0 {
				b.Fatal(found)
			}
		}
	})
}

func BenchmarkDigestFull(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		for b.Loop() {
			NewBuckets(large)
		}
	})
}

func BenchmarkDigestUpdate(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		next, buckets := smallChange(large), NewBuckets(large)
		changes := Diff(large, next)
		for b.Loop() {
			buckets.Update(next, changes)
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		next := smallChange(large)
		for b.Loop() {
			Diff(large, next)
		}
	})
}

func BenchmarkApply(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		d := NewDelta(large, smallChange(large))
		for b.Loop() {
			if _, err := Apply(large, d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		large := largeBundle(b, n)
		var data []byte
		for b.Loop() {
			data, _ = EncodeSnapshot(large)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
		delta, _ := (&Signed{Delta: NewDelta(large, smallChange(large))}).Encode()
		b.ReportMetric(float64(len(delta)), "delta-bytes")
	})
}

func BenchmarkRestore(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		data, _ := EncodeSnapshot(largeBundle(b, n))
		var held *Bundle
		before := heap()
		for b.Loop() {
			held, _ = DecodeSnapshot(data)
		}
		b.ReportMetric(float64(heap()-before), "held-bytes")
		runtime.KeepAlive(held)
	})
}

// heap returns the bytes of live heap objects after a garbage collection.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
