package gateway

import (
	"sync"
	"time"
)

const (
	// budgetUse is the fraction of the common retry budget that the entry hosts
	// divide among themselves; the rest covers the error of counting in steps of a
	// sliding window.
	budgetUse = 0.7
	// budgetSteps is the number of steps that the sliding window consists of.
	budgetSteps = 10
)

// budgets limits the retries for each service. All entry hosts share one retry
// budget per service, of which each uses its own part.
type budgets struct {
	config *Config

	mu       sync.Mutex
	services map[string]*budget
}

// budget counts the requests and retries of one service in a sliding window.
type budget struct {
	steps [budgetSteps]budgetStep
}

type budgetStep struct {
	number            int64 // time divided by the length of a step
	requests, retries int
}

func newBudgets(c *Config) *budgets { return &budgets{config: c, services: map[string]*budget{}} }

// step returns the counters of a service and its step at now; the lock is held.
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

// request counts a caller's request, which adds to the budget.
func (b *budgets) request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, step := b.step(service, now)
	step.requests++
}

// take reports whether this host's part of the budget allows a retry, and counts
// it if so. hosts is the number of entry hosts.
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

// remaining returns the number of retries that this host's part of the budget
// still allows; the lock is held.
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

// left returns the smallest number of retries that this host's part of the budget
// still allows for any service.
func (b *budgets) left(now time.Duration, hosts int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := int(budgetUse * b.config.RetrySlack / float64(hosts))
	for service := range b.services {
		least = min(least, int(b.remaining(service, now, hosts)))
	}
	return least
}
