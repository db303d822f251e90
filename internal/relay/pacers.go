package relay

import (
	"sync"
	"time"
)

// pacerForget is the time without an answer after which an entry host's pacer
// is dropped.
const pacerForget = time.Minute

// pacers holds the pacer of each entry host.
type pacers struct {
	mu    sync.Mutex
	hosts map[string]*pacer
}

func newPacers() *pacers { return &pacers{hosts: map[string]*pacer{}} }

// of returns the pacer of a host, whose link carries bytesPerSecond.
func (p *pacers) of(now time.Time, host string, bytesPerSecond float64) *pacer {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[host]
	if !ok {
		h = newPacer(bytesPerSecond)
		p.hosts[host] = h
		for name, other := range p.hosts {
			if name != host && now.Sub(other.used) > pacerForget {
				delete(p.hosts, name)
			}
		}
	}
	h.used = now
	h.setRate(now, bytesPerSecond)
	return h
}
