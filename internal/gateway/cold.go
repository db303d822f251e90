package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// coldUse is the fraction of a cold target's rate limit that the entry hosts
	// divide among themselves. The rest covers hosts that assume a different number
	// of entry hosts.
	coldUse = 0.7
	// coldWindow is the sliding window over which a cold target's limit applies.
	coldWindow = time.Second
)

// coldLimiter is the rate limit for targets that are warming up. The limit holds
// for all entry hosts together without communication between them: each host has
// a fixed quota per window, and if there are more hosts than requests allowed, only
// some of the hosts have a quota at all.
type coldLimiter struct {
	config *Config
	view   *view

	mu    sync.Mutex
	sends map[string][]time.Duration // send times by target, newest last
}

func newColdLimiter(c *Config, v *view) *coldLimiter {
	return &coldLimiter{config: c, view: v, sends: map[string][]time.Duration{}}
}

// quota returns the number of requests that this host may send to a cold target in
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
	// The hash gives each target a different set of hosts.
	turn := (rank + int(xxhash.Sum64String(t.Name)%uint64(hosts))) % hosts
	// The hosts with a quota are spread evenly over the order of names, and so over
	// the availability zones.
	if turn*total%hosts < total {
		return 1
	}
	return 0
}

// allowed reports whether the quota allows a request to a cold target now. It
// counts nothing; see sent.
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

// sent counts a request to a cold target.
func (l *coldLimiter) sent(now time.Duration, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends[target] = append(l.sends[target], now)
}
