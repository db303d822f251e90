package link

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// BenchmarkTryNow measures a request that is granted at once.
func BenchmarkTryNow(b *testing.B) {
	s := NewShaper(1e12, epoch)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if !s.TryNow(now, 4096) {
			b.Fatal("refused")
		}
	}
}

// BenchmarkQueued measures a request that is queued until the bucket has refilled.
func BenchmarkQueued(b *testing.B) {
	s := NewShaper(1e6, epoch)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		s.Ask(traffic.Bulk, 4096)
		for !now.IsZero() {
			_, next := s.Advance(now)
			if next.IsZero() {
				break
			}
			now = next
		}
	}
}

// BenchmarkAllocate measures one lease request among 16 busy hosts.
func BenchmarkAllocate(b *testing.B) {
	a := NewAllocator(simCap, epoch)
	now := epoch.Add(LeaderWait)
	hosts := newSimulation(16).hosts
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(RenewInterval / 16)
		a.Ask(now, hosts[i%16].name, simCap)
	}
}
