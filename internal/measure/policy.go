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

// unlimitedPermits grants a target to every request, without slots. It stands for
// balancers that know only what targets report.
type unlimitedPermits struct {
	leastLoad bool

	mu      sync.RWMutex
	targets map[string][]*reportedTarget // by service
}

// reportedTarget is a target with its last load report.
type reportedTarget struct {
	target *standin.Target
	region string
	load   atomic.Int64
}

func newUnlimitedPermits(leastLoad bool) *unlimitedPermits {
	return &unlimitedPermits{leastLoad: leastLoad, targets: map[string][]*reportedTarget{}}
}

func (p *unlimitedPermits) add(service string, t *standin.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[service] = append(p.targets[service], &reportedTarget{target: t})
}

// run refreshes the reports until ctx ends.
func (p *unlimitedPermits) run(ctx context.Context) {
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
func (p *unlimitedPermits) Acquire(_ context.Context, r entry.PermitRequest) (entry.Permit, error) {
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
	return &unlimitedPermit{chosen}, nil
}

// unlimitedPermit is a permit without a slot.
type unlimitedPermit struct{ *reportedTarget }

func (p *unlimitedPermit) Target() string          { return p.target.Address() }
func (p *unlimitedPermit) Zone() string            { return "" }
func (p *unlimitedPermit) Region() string          { return p.region }
func (p *unlimitedPermit) Usable(time.Time) bool   { return true }
func (p *unlimitedPermit) Started()                {}
func (p *unlimitedPermit) Release(_ slots.Outcome) {}
func (p *unlimitedPermit) Lost() <-chan struct{}   { return nil }
