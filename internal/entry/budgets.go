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

// countRequest counts a request to the service.
func (b *budgets) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(service).Request(now)
}

// decide applies the retry rule under the budget of the service.
func (b *budgets) decide(service string, a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Decide(a, b.budgetFor(service))
}

// budgetFor returns the budget of the service. The caller holds mu.
func (b *budgets) budgetFor(service string) *retry.Budget {
	budget := b.byName[service]
	if budget == nil {
		budget = retry.NewBudget(b.limits)
		b.byName[service] = budget
	}
	return budget
}
