package relay

import (
	"sync"

	"golang.org/x/time/rate"
)

// paceBurst is the number of bytes that may be sent at once to a paced entry host.
const paceBurst = 8 << 10

// pacers bound the rate of large answers to each entry host.
type pacers struct {
	mu    sync.Mutex
	hosts map[string]*pacer
}

type pacer struct {
	limiter *rate.Limiter
	users   int
}

func newPacers() *pacers { return &pacers{hosts: map[string]*pacer{}} }

// begin returns the limiter that all answers at work for a host share.
func (p *pacers) begin(host string, bytesPerSecond float64) *rate.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[host]
	if !ok {
		h = &pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), paceBurst)}
		p.hosts[host] = h
	}
	h.users++
	return h.limiter
}

// end says that an answer has ended.
func (p *pacers) end(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[host]
	if h.users--; h.users == 0 {
		delete(p.hosts, host)
	}
}
