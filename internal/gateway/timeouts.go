package gateway

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

// timeouts counts for each service how many requests timed out at a target.
type timeouts struct {
	mu       sync.Mutex
	services map[string]*evidence.Tally
}

func newTimeouts() *timeouts { return &timeouts{services: map[string]*evidence.Tally{}} }

// record counts a request that was sent to a target; timeout means that it timed out
// there.
func (l *timeouts) record(now time.Duration, service string, timeout bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.services[service]
	if !ok {
		t = &evidence.Tally{}
		l.services[service] = t
	}
	if timeout {
		t.Add(now, 0, 1)
	} else {
		t.Add(now, 1, 0)
	}
}

// share returns the recent fraction of a service's requests that timed out at a
// target.
func (l *timeouts) share(now time.Duration, service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.services[service]; ok {
		return t.BadRatio(now)
	}
	return 0
}
