package relay

import (
	"sync"
	"time"
)

// pacerIdleTimeout is the time without a response after which an entry host's pacer
// is dropped.
const pacerIdleTimeout = time.Minute

// pacers holds one pacer for each entry host, by IP address.
type pacers struct {
	mu    sync.Mutex
	hosts map[string]*pacer
}

func newPacers() *pacers { return &pacers{hosts: map[string]*pacer{}} }

// get returns the pacer of an entry host, set to the rate of its link in bytes per
// second. Creating a pacer also drops the idle ones.
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
