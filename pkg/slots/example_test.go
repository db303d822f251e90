package slots_test

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

// A target with one slot serves two requests one after the other.
func ExamplePool() {
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	policy := slots.Policy{Services: map[string]slots.Limits{"bookings": {Slots: 4, Timeout: 5 * time.Second}}}
	holder := slots.Holder{Host: "east-a-1", Incarnation: "one"}

	pool := slots.NewPool(now, policy, []string{holder.Host}, zonelease.LeaseDuration)
	fmt.Println("recovering:", pool.Recovering())
	now = now.Add(zonelease.LeaseDuration + slots.AbandonGrace)
	pool.RestorePermits(now, holder, time.Hour, nil)
	pool.Tick(now)
	fmt.Println("recovering:", pool.Recovering())

	err := pool.Announce(now, slots.Announcement{Service: "bookings", Address: "10.1.8.5:9000",
		Incarnation: 1, Sequence: 1, Slots: 1, Connections: 10, State: slots.Ready})
	if err != nil {
		fmt.Println(err)
		return
	}
	acquire := func(number uint64) slots.ID {
		id := slots.ID{Holder: holder, Number: number}
		grant, queued, err := pool.Acquire(now, slots.Request{ID: id, Service: "bookings",
			Deadline: now.Add(2 * time.Second), MaxWait: time.Second})
		fmt.Printf("request %d: target %q, queued %v, error %v\n", number, grant.Target, queued, err)
		return id
	}
	first := acquire(1)
	acquire(2)
	pool.Release(now, first, slots.OutcomeDone)
	for _, d := range pool.Decisions() {
		fmt.Printf("request %d: target %q, error %v\n", d.ID.Number, d.Target, d.Err)
	}
	// Output:
	// recovering: true
	// recovering: false
	// request 1: target "10.1.8.5:9000", queued false, error <nil>
	// request 2: target "", queued true, error <nil>
	// request 2: target "10.1.8.5:9000", error <nil>
}
