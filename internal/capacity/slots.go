package capacity

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// slotSlopes measures the slot pool of a zone by the number of its targets.
func slotSlopes() []slope {
	acquire := slope{role: "zone coordinator", figure: "slot granted and released", unit: "µs", per: "target of a zone", planned: 100}
	memory := slope{role: "zone coordinator", figure: "heap of the slot pool, half of the slots granted", unit: "MB", per: "target of a zone", planned: 100}
	for _, n := range []int{4, 40, 400} {
		before := heap()
		pool, now := filledPool(n)
		memory.add(float64(n), (heap()-before)/megabyte)
		const calls = 20_000
		acquire.add(float64(n), 1e6*perCall(calls, func(i int) {
			id := slots.ID{Number: uint64(1_000_000 + i)}
			if _, _, err := pool.Acquire(now, slots.Request{ID: id, Service: "bookings", Deadline: now.Add(time.Second), MaxWait: time.Second}); err != nil {
				panic(err) // half of the slots are free
			}
			pool.Release(now, id, slots.OutcomeDone)
		}))
	}
	return []slope{acquire, memory}
}

// filledPool returns a pool with the given number of targets and half of their slots
// granted, and the time on its clock.
func filledPool(targets int) (*slots.Pool, time.Time) {
	start := time.Unix(1000, 0)
	now := start
	pool := slots.NewPool(now, slots.Policy{Services: map[string]slots.Limits{"bookings": {Slots: 4}}}, nil, 0)
	for i := range targets {
		a := slots.Announcement{Service: "bookings", Address: fmt.Sprintf("127.0.%d.%d:9000", i>>8, i&0xff),
			Incarnation: 1, Sequence: 1, Slots: 4, State: slots.Ready}
		if err := pool.Announce(now, a); err != nil {
			panic(err) // the announcement is constant and valid
		}
	}
	for i := range 2 * targets {
		id := slots.ID{Number: uint64(i + 1)}
		if _, _, err := pool.Acquire(now, slots.Request{ID: id, Service: "bookings", Deadline: now.Add(time.Hour), MaxWait: time.Second}); err != nil {
			panic(err)
		}
	}
	return pool, now
}
