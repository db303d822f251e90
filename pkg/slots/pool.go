package slots

import (
	"slices"
	"time"
)

// Pool holds the targets, permits and queues of one availability zone during
// one coordinator's term. The permits that may be in use at a target never
// exceed its slots. It is not safe for concurrent use.
type Pool struct {
	policy    Policy
	started   time.Time
	services  map[string]*service
	targets   map[string]*target
	serviceOf map[string]*service // service of a target's address
	permits   map[ID]*permit
	waiting   map[ID]*service
	cancelled map[ID]time.Time
	pending   map[string]time.Time // hosts whose permits are unknown, and when the wait for each ends
	decisions []Decision
	grants    uint64
}

// NewPool returns the pool of a new term. hosts are the entry hosts that may
// hold permits of earlier terms: nothing is granted until each of them has
// reported its permits or all its permits must have expired. lease is how long
// grants of an earlier term may still reach their holders.
func NewPool(now time.Time, p Policy, hosts []string, lease time.Duration) *Pool {
	pool := &Pool{
		policy: p, started: now,
		services: map[string]*service{}, targets: map[string]*target{}, serviceOf: map[string]*service{},
		permits: map[ID]*permit{}, waiting: map[ID]*service{}, cancelled: map[ID]time.Time{},
		pending: map[string]time.Time{},
	}
	for _, host := range hosts {
		pool.pending[host] = now.Add(lease + p.HoldLimit())
	}
	return pool
}

// SetPolicy applies the limits and drains of a new bundle.
func (p *Pool) SetPolicy(now time.Time, policy Policy) {
	p.policy = policy
	for address, t := range p.targets {
		t.drained = policy.DrainedTargets[address]
	}
	p.serveAll(now)
}

// Decisions returns the decisions on queued requests since the last call.
func (p *Pool) Decisions() []Decision {
	d := p.decisions
	p.decisions = nil
	return d
}

// Tick frees expired permits, refuses requests whose wait has ended and grants
// slots that have become usable since the last call. Call it every few tens of
// milliseconds.
func (p *Pool) Tick(now time.Time) {
	for host, until := range p.pending {
		if !now.Before(until) {
			delete(p.pending, host)
		}
	}
	for _, held := range p.permits {
		if !now.Before(held.expires) {
			p.free(now, held)
		}
	}
	for id, at := range p.cancelled {
		if now.Sub(at) > cancelRetention {
			delete(p.cancelled, id)
		}
	}
	p.forgetTargets(now)
	p.serveAll(now)
}

// Recovering reports whether permits of earlier terms may still be unknown.
// While it is true no slot is granted.
func (p *Pool) Recovering() bool { return len(p.pending) > 0 }

// service returns the service of that name and creates it if necessary.
func (p *Pool) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{name: name}
		p.services[name] = s
	}
	return s
}

// free removes a permit and makes its slot available.
func (p *Pool) free(now time.Time, held *permit) {
	delete(p.permits, held.id)
	held.target.outstanding--
	if s := p.serviceOf[held.target.address]; !s.queue.empty() {
		s.estimator.slotFreed(now)
	}
}

// forgetTargets removes targets that have been silent for so long that no late
// announcement can still arrive.
func (p *Pool) forgetTargets(now time.Time) {
	for _, t := range p.targets {
		if t.outstanding > 0 || now.Sub(t.lastHeard) < targetRetention {
			continue
		}
		p.removeTarget(t)
	}
}

func (p *Pool) removeTarget(t *target) {
	s := p.serviceOf[t.address]
	s.targets = slices.DeleteFunc(s.targets, func(o *target) bool { return o == t })
	delete(p.targets, t.address)
	delete(p.serviceOf, t.address)
}
