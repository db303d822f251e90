package gateway

import (
	"sync"
	"time"
)

const (
	// budgetUse is the part of the common retry budget that the hosts share out;
	// the rest covers counting in windows that slide.
	budgetUse = 0.7
	// budgetSteps divide the window in which repeats are counted.
	budgetSteps = 10
)

// budgets bound the repeats of each service. Each entry host uses its part of
// the budget that all of them share.
type budgets struct {
	config *Config

	mu       sync.Mutex
	services map[string]*budget
}

type budget struct {
	steps [budgetSteps]budgetStep
}

type budgetStep struct {
	number            int64
	requests, repeats int
}

func newBudgets(c *Config) *budgets { return &budgets{config: c, services: map[string]*budget{}} }

func (b *budgets) step(service string, now time.Duration) (*budget, *budgetStep) {
	s, ok := b.services[service]
	if !ok {
		s = &budget{}
		b.services[service] = s
	}
	number := int64(now / (b.config.RetryWindow / budgetSteps))
	step := &s.steps[number%budgetSteps]
	if step.number != number {
		*step = budgetStep{number: number}
	}
	return s, step
}

// request counts a request of a caller.
func (b *budgets) request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, step := b.step(service, now)
	step.requests++
}

// take counts a repeat if the part of this host, one of many, allows it.
func (b *budgets) take(service string, now time.Duration, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, current := b.step(service, now)
	requests, repeats := 0, 0
	for _, step := range s.steps {
		if current.number-step.number < budgetSteps {
			requests += step.requests
			repeats += step.repeats
		}
	}
	allowed := budgetUse * (b.config.RetryRatio*float64(requests) + b.config.RetrySlack/float64(hosts))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}
