package relay

import (
	"sync"
	"time"
)

// pacerIdleTimeout is the time without an answer after which an entry host's pacer
// is dropped.
const pacerIdleTimeout = time.Minute

// pacers holds the pacer of each entry host.
type pacers struct {
	mu    sync.Mutex
	hosts map[string]*pacer
}

func newPacers() *pacers { return &pacers{hosts: map[string]*pacer{}} }

// get returns the pacer get a host, whose link carries bytesPerSecond.
func (p *pacers) get(now time.Time, host string, bytesPerSecond float64) *pacer {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[host]
	if !ok {
		h = newPacer(bytesPerSecond)
		p.hosts[host] = h
		for name, other := range p.hosts {
			if name != host && now.Sub(other.lastUsed) > pacerIdleTimeout {
				delete(p.hosts, name)
			}
		}
	}
	h.lastUsed = now
	h.setRate(now, bytesPerSecond)
	return h
}
