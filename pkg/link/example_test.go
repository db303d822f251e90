package link_test

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/link"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// A host leases a share of a link and grants a short request before a bulk one.
func ExampleShaper() {
	const capacity = 35e6 // 280 Mbit/s in bytes per second
	start := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	allocator := link.NewAllocator(capacity, start)
	shaper := link.NewShaper(link.Floor(capacity, 16), start)

	fmt.Println("share of a new leader:", allocator.Ask(start, "east-a-1", 10e6))
	sent := start.Add(link.LeaderWait)
	share := allocator.Ask(sent, "east-a-1", 10e6)
	shaper.SetLease(sent, link.Lease{BytesPerSecond: share, Until: sent.Add(link.UsableLeaseDuration)})
	fmt.Println("lease in use:", share > 0 && shaper.HasLease(sent))

	bulk := shaper.Ask(traffic.Bulk, 32<<10)
	short := shaper.Ask(traffic.Short, 1<<10)
	for now, waiting := sent, true; waiting; {
		granted, next := shaper.Advance(now)
		for _, r := range granted {
			fmt.Println("short granted:", r == short, "bulk granted:", r == bulk)
		}
		now, waiting = next, !next.IsZero()
	}
	fmt.Println("lease in use later:", shaper.HasLease(sent.Add(link.UsableLeaseDuration)))
	// Output:
	// share of a new leader: 0
	// lease in use: true
	// short granted: true bulk granted: false
	// short granted: false bulk granted: true
	// lease in use later: false
}
