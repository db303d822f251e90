package claim_test

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// Two entry hosts attempt the same key. Only the one with a majority of votes may send.
func ExampleProposer() {
	key, err := claim.ParseKey("bookings", "0192f0c0-7a00-7000-8000-0000000000a1")
	if err != nil {
		fmt.Println(err)
		return
	}
	now := key.Time().Add(time.Second)
	names := []string{"control-1", "control-2", "control-3"}
	stores := map[string]*claim.Store{}
	for _, name := range names {
		stores[name] = claim.NewStore(name, name+"-disk", now)
		stores[name].Gate.MarkReady() // all stores of a new deployment are empty
	}

	try := func(host string) claim.Decision {
		attempt := claim.Attempt{Host: host, Incarnation: "one", Counter: 1}
		proposer := claim.NewProposer(attempt, names)
		for _, name := range names {
			reply, mutation := stores[name].Vote(now, claim.VoteRequest{Key: key, Attempt: attempt})
			_ = mutation // a real store syncs it to disk before it sends the reply
			proposer.Reply(reply)
		}
		return proposer.Decision()
	}
	fmt.Println(try("east-a-1") == claim.MaySend)
	fmt.Println(try("east-b-1") == claim.InProgress)
	// Output:
	// true
	// true
}
