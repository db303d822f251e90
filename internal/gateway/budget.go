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
	requests, retries int
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
	if b.remaining(service, now, hosts) < 1 {
		return false
	}
	_, current := b.step(service, now)
	current.retries++
	return true
}

// remaining is how many repeats the part of this host still allows; the lock is held.
func (b *budgets) remaining(service string, now time.Duration, hosts int) float64 {
	s, current := b.step(service, now)
	requests, retries := 0, 0
	for _, step := range s.steps {
		if current.number-step.number < budgetSteps {
			requests += step.requests
			retries += step.retries
		}
	}
	return budgetUse*(b.config.RetryRatio*float64(requests)+b.config.RetrySlack/float64(hosts)) - float64(retries)
}

// left is the least number of repeats that the part of this host still allows a
// service.
func (b *budgets) left(now time.Duration, hosts int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := int(budgetUse * b.config.RetrySlack / float64(hosts))
	for service := range b.services {
		least = min(least, int(b.remaining(service, now, hosts)))
	}
	return least
}
