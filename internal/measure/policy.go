package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/entry"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Policies that a run compares.
const (
	policyCurrent   = "current"
	policyRandom    = "random"
	policyLeastLoad = "least reported load"
)

// reportInterval is the age that load reports reach under policyLeastLoad.
const reportInterval = time.Second

// freePermits grants a target to every request, without slots. It stands for
// balancers that know only what targets report.
type freePermits struct {
	leastLoad bool

	mu      sync.RWMutex
	targets map[string][]*reported // by service
}

// reported is a target with its last load report.
type reported struct {
	target *standin.Target
	region string
	load   atomic.Int64
}

func newFreePermits(leastLoad bool) *freePermits {
	return &freePermits{leastLoad: leastLoad, targets: map[string][]*reported{}}
}

func (p *freePermits) add(service string, t *standin.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[service] = append(p.targets[service], &reported{target: t})
}

// run refreshes the reports until ctx ends.
func (p *freePermits) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.RLock()
		for _, list := range p.targets {
			for _, r := range list {
				r.load.Store(int64(r.target.Stats().Outstanding))
			}
		}
		p.mu.RUnlock()
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// Acquire implements entry.Permits.
func (p *freePermits) Acquire(_ context.Context, r entry.PermitRequest) (entry.Permit, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	list := p.targets[r.Service]
	if len(list) == 0 {
		return nil, &entry.BusyError{RetryAfter: time.Second}
	}
	chosen := list[rand.IntN(len(list))]
	if p.leastLoad {
		for _, t := range list {
			if t.load.Load() < chosen.load.Load() {
				chosen = t
			}
		}
	}
	return &freePermit{chosen}, nil
}

// freePermit is a permit without a slot.
type freePermit struct{ *reported }

func (p *freePermit) Target() string          { return p.target.Address() }
func (p *freePermit) Zone() string            { return "" }
func (p *freePermit) Region() string          { return p.region }
func (p *freePermit) Usable(time.Time) bool   { return true }
func (p *freePermit) Started()                {}
func (p *freePermit) Release(_ slots.Outcome) {}
func (p *freePermit) Lost() <-chan struct{}   { return nil }
