package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// BenchmarkAcquireRelease measures one grant and its release while half of the
// slots are in use.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, targets := range []int{4, 24, 130, 1000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p := NewPool(start, Policy{Services: map[string]Limits{"s": {Slots: 4}}}, nil, 0)
			for i := range targets {
				a := Announcement{Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Incarnation: 1, Sequence: 1, Slots: 4, State: Ready}
				if err := p.Announce(start, a); err != nil {
					b.Fatal(err)
				}
			}
			r := Request{ID: ID{Holder: Holder{"h", "1"}}, Service: "s", Class: traffic.Short, Deadline: start.Add(time.Second)}
			for range 2 * targets {
				r.ID.Number++
				_, _, _ = p.Acquire(start, r)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.ID.Number++
				if _, _, err := p.Acquire(start, r); err != nil {
					b.Fatal(err)
				}
				p.Release(start, r.ID, OutcomeDone)
			}
		})
	}
}
