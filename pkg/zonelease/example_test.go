package zonelease_test

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

// One of three voters is down; the candidate still gets the lease, which expires
// without renewals.
func ExampleCandidate() {
	start := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	hosts := []string{"east-a-1", "east-a-2", "east-a-3"}
	voters := map[string]*zonelease.Voter{}
	for _, host := range hosts[:2] {
		voters[host] = zonelease.NewVoter(start)
	}
	candidate := zonelease.NewCandidate("east-a-1", "one", func() float64 { return 0 })
	candidate.SetVoters(hosts)

	now := start.Add(zonelease.LeaseDuration) // restarted voters grant nothing earlier
	for range 100 {
		for _, request := range candidate.Tick(now, voters["east-a-1"].PromisedToOther(now, candidate.Self())) {
			for host, voter := range voters {
				candidate.Handle(now, host, request.Round, voter.Handle(now, request))
			}
		}
		if candidate.Holds(now) {
			break
		}
		now = now.Add(50 * time.Millisecond)
	}
	fmt.Println("holds:", candidate.Holds(now))
	fmt.Println("for:", candidate.Until().Sub(now))
	fmt.Println("holds later:", candidate.Holds(now.Add(zonelease.HeldDuration)))
	// Output:
	// holds: true
	// for: 1.8s
	// holds later: false
}
