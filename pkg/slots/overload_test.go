package slots

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// overloadRun is the result of offering a pool of 4 slots twice the work that it
// can do, with regular arrivals and a fixed holding time.
type overloadRun struct {
	granted     int           // granted requests that arrived after the first second
	longestWait time.Duration // of these granted requests
	refusedLate int           // requests that were queued first and refused later
}

// runOverload simulates ten seconds of overload with the given request deadline.
func runOverload(deadline time.Duration) overloadRun {
	const (
		hold     = 50 * time.Millisecond
		interval = hold / 8 // 4 slots finish one request each 12.5 ms
		length   = 10 * time.Second
	)
	now := time.Unix(1000, 0)
	start := now
	pool := NewPool(now, Policy{Services: map[string]Limits{"bookings": {Slots: 4}}}, nil, 0)
	ends := map[ID]time.Time{}
	arrived := map[ID]time.Time{}
	var run overloadRun
	recordGrant := func(id ID) {
		ends[id] = now.Add(hold)
		if arrived[id].Sub(start) > time.Second {
			run.granted++
			run.longestWait = max(run.longestWait, now.Sub(arrived[id]))
		}
	}
	drain := func() {
		for _, d := range pool.Decisions() {
			if d.Err != nil {
				run.refusedLate++
				continue
			}
			recordGrant(d.ID)
		}
	}
	for n := uint64(1); now.Sub(start) < length; n++ {
		now = now.Add(interval)
		_ = pool.Announce(now, Announcement{Service: "bookings", Address: "127.0.0.1:1", Incarnation: 1, Sequence: n, Slots: 4, State: Ready})
		for id, end := range ends {
			if !now.Before(end) {
				pool.Release(now, id, OutcomeDone)
				delete(ends, id)
			}
		}
		pool.Tick(now)
		drain()
		r := Request{ID: ID{Number: n}, Service: "bookings", Deadline: now.Add(deadline), MaxWait: deadline}
		arrived[r.ID] = now
		if _, queued, err := pool.Acquire(now, r); err == nil && !queued {
			recordGrant(r.ID)
		}
		drain()
	}
	return run
}

// Guards against a queue that grows until every request waits until its deadline,
// so that the target works on requests that then miss it.
func TestOverloadKeepsTheQueueShort(t *testing.T) {
	Convey("Given twice the work that the slots can do", t, func() {
		run := runOverload(2 * time.Second)
		Convey("the slots stay busy", func() {
			So(run.granted, ShouldBeGreaterThanOrEqualTo, 684) // 95% of 9 s at 80 requests a second
		})
		Convey("no admitted request waits longer than the queue's bound allows", func() {
			So(run.longestWait, ShouldBeLessThanOrEqualTo, (maxQueueHolds+1)*50*time.Millisecond)
		})
		Convey("requests are refused on arrival, not after a wait", func() {
			So(run.refusedLate, ShouldEqual, 0)
		})
	})
}
