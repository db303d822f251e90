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

// Policies to compare. policyCurrent is the product's own; the others assign targets
// without slots.
const (
	policyCurrent   = "current"
	policyRandom    = "random"
	policyLeastLoad = "least reported load"
)

// reportInterval is the time between load reports, and so their maximum age, under
// policyLeastLoad.
const reportInterval = time.Second

// unlimitedPermits grants every request a target without limiting concurrency by
// slots. It models load balancers that know only the load that targets report.
type unlimitedPermits struct {
	leastLoad bool // choose the target with the least reported load, not a random one

	mu      sync.RWMutex
	targets map[string][]*reportedTarget // by service
}

// reportedTarget is a target with its last load report.
type reportedTarget struct {
	target *standin.Target
	region string
	load   atomic.Int64 // requests outstanding at the last report
}

// newUnlimitedPermits returns permits without targets; add adds them.
func newUnlimitedPermits(leastLoad bool) *unlimitedPermits {
	return &unlimitedPermits{leastLoad: leastLoad, targets: map[string][]*reportedTarget{}}
}

// add registers a target of a service.
func (p *unlimitedPermits) add(service string, t *standin.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[service] = append(p.targets[service], &reportedTarget{target: t})
}

// run refreshes the load reports every reportInterval until ctx ends.
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

// unlimitedPermit implements entry.Permit without holding a slot.
type unlimitedPermit struct{ *reportedTarget }

func (p *unlimitedPermit) Target() string          { return p.target.Address() }
func (p *unlimitedPermit) Zone() string            { return "" }
func (p *unlimitedPermit) Region() string          { return p.region }
func (p *unlimitedPermit) Usable(time.Time) bool   { return true }
func (p *unlimitedPermit) Started()                {}
func (p *unlimitedPermit) Release(_ slots.Outcome) {}
func (p *unlimitedPermit) Lost() <-chan struct{}   { return nil }
