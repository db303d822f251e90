package retry

import "time"

// Limits holds the parameters of a retry budget.
type Limits struct {
	Ratio   float64 // retries allowed per request in the window
	Minimum float64 // retries a second allowed in addition, even without requests
}

// DefaultLimits allows one retry per ten requests, so that retries add at most 10%
// load when all targets fail, and one a second in addition for services with few
// requests.
var DefaultLimits = Limits{Ratio: 0.1, Minimum: 1}

// The sliding window consists of steps; requests in older steps no longer count.
const (
	windowSteps = 10
	windowStep  = time.Second
)

// Window is the length of the sliding window in which requests and retries count.
const Window = windowSteps * windowStep

// Budget limits the retries for one service in proportion to its recent requests.
// It is not safe for concurrent use.
type Budget struct {
	limits Limits
	steps  [windowSteps]step
}

type step struct {
	number   int64 // time divided by windowStep
	requests int
	retries  int
}

// NewBudget returns a budget without any requests or retries counted.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Request counts the first attempt of a request.
func (b *Budget) Request(now time.Time) { b.current(now).requests++ }

// Take reports whether the budget allows one more retry, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	current := b.current(now)
	requests, retries := 0, 0
	for _, s := range b.steps {
		if current.number-s.number < windowSteps {
			requests += s.requests
			retries += s.retries
		}
	}
	allowed := float64(requests)*b.limits.Ratio + b.limits.Minimum*Window.Seconds()
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

// current returns the step of now, cleared if it was last used for an earlier time.
// If the clock has gone back, the counts go to the newest step in the same slot.
func (b *Budget) current(now time.Time) *step {
	number := now.UnixNano() / int64(windowStep)
	s := &b.steps[number%windowSteps]
	if s.number < number {
		*s = step{number: number}
	}
	return s
}
