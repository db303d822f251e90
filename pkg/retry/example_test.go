package retry_test

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
)

// A broken GET may be repeated, a broken POST may not: the target may have run it.
func ExampleDecide() {
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	budget := retry.NewBudget(retry.DefaultLimits)
	budget.Request(now)

	for _, method := range []string{"GET", "POST"} {
		d := retry.Decide(retry.Attempt{
			Method:            method,
			RepeatableMethods: []string{"GET", "HEAD"},
			Outcome:           retry.Broken,
			Sent:              true,
			Now:               now,
			Deadline:          now.Add(time.Second),
		}, budget)
		fmt.Println(method, "repeat:", d.Repeat, "not run:", d.Execution == retry.NotRun)
	}
	d := retry.Decide(retry.Attempt{Method: "POST", Outcome: retry.Unreached,
		Now: now, Deadline: now.Add(-time.Second)}, budget)
	fmt.Println("POST after its deadline, unsent: repeat:", d.Repeat, "not run:", d.Execution == retry.NotRun)
	// Output:
	// GET repeat: true not run: false
	// POST repeat: false not run: false
	// POST after its deadline, unsent: repeat: false not run: true
}
