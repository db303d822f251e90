package entry

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
)

// budgets holds the retry budget of each service.
type budgets struct {
	mu     sync.Mutex
	limits retry.Limits
	byName map[string]*retry.Budget
}

func newBudgets(l retry.Limits) *budgets {
	return &budgets{limits: l, byName: map[string]*retry.Budget{}}
}

// request counts a request of the service.
func (b *budgets) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Request(now)
}

// decide applies the retry rule under the budget of the service.
func (b *budgets) decide(service string, a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Decide(a, b.of(service))
}

func (b *budgets) of(service string) *retry.Budget {
	budget := b.byName[service]
	if budget == nil {
		budget = retry.NewBudget(b.limits)
		b.byName[service] = budget
	}
	return budget
}
