package retry

import "time"

// Limits of a retry budget.
type Limits struct {
	Ratio   float64 // retries allowed for each request of the window
	Minimum float64 // retries a second allowed without any requests
}

// DefaultLimits allow retries for a tenth of the requests, so that retries
// add at most 10% load when all targets fail, and one a second for services
// with few requests.
var DefaultLimits = Limits{Ratio: 0.1, Minimum: 1}

// The window is counted in steps; requests older than the window no longer count.
const (
	windowSteps = 10
	windowStep  = time.Second
)

// Window is the time over which requests and retries are counted.
const Window = windowSteps * windowStep

// Budget counts recent requests and retries of one service. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	steps  [windowSteps]step
}

type step struct {
	number   int64 // time divided by windowStep
	requests int
	retries  int
}

// NewBudget returns an unused budget.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Request counts the first attempt of a request.
func (b *Budget) Request(now time.Time) { b.current(now).requests++ }

// Take counts a retry if the budget allows one more.
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

// current returns the step of now. A clock that went back counts towards the newest step of that place.
func (b *Budget) current(now time.Time) *step {
	number := now.UnixNano() / int64(windowStep)
	s := &b.steps[number%windowSteps]
	if s.number < number {
		*s = step{number: number}
	}
	return s
}
