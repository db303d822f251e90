package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// coldUse is the part of a cold target's bound that all entry hosts together
	// use. The rest covers hosts that count the entry hosts differently.
	coldUse = 0.7
	// coldWindow is the time over which the bound of a cold target counts.
	coldWindow = time.Second
)

// coldLimiter bounds what this host sends to targets that have just started.
// The bound holds for all entry hosts together: each may send a fixed number
// of requests in any window, and only so many hosts may send at all.
type coldLimiter struct {
	config *Config
	view   *view

	mu    sync.Mutex
	sends map[string][]time.Duration // by target, newest last
}

func newColdLimiter(c *Config, v *view) *coldLimiter {
	return &coldLimiter{config: c, view: v, sends: map[string][]time.Duration{}}
}

// quota is the number of requests that this host may send to a cold target in
// any window.
func (l *coldLimiter) quota(t *roster.Target, p *policy.Policy) int {
	bound := l.config.ColdSlack
	if s, ok := p.Services[t.Service]; ok {
		bound += s.ColdPerSecond * l.config.ColdOverage
	}
	total := int(bound * coldUse)
	rank, hosts := l.view.place()
	if total >= hosts {
		return total / hosts
	}
	turn := (rank + int(xxhash.Sum64String(t.Name)%uint64(hosts))) % hosts
	// The hosts that may send are spread over the order of names, and so over
	// the availability zones.
	if turn*total%hosts < total {
		return 1
	}
	return 0
}

// allowed reports whether this host may send a request to a cold target now.
func (l *coldLimiter) allowed(now time.Duration, t *roster.Target, p *policy.Policy) bool {
	quota := l.quota(t, p)
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.sends[t.Name]
	for len(recent) > 0 && now-recent[0] > coldWindow {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		delete(l.sends, t.Name)
	} else {
		l.sends[t.Name] = recent
	}
	return len(recent) < quota
}

// sent notes a request to a cold target.
func (l *coldLimiter) sent(now time.Duration, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends[target] = append(l.sends[target], now)
}
