package gateway

import (
	"sync"
	"time"
)

// rateMemory is the time over which request rates are averaged.
const rateMemory = 3 * time.Second

// rates counts the requests of callers by service.
type rates struct {
	mu     sync.Mutex
	counts map[string]int
	rates  map[string]float64
}

func newRates() *rates { return &rates{counts: map[string]int{}, rates: map[string]float64{}} }

func (r *rates) count(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[service]++
}

// step takes the counts of a period into the averages.
func (r *rates) step(period time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := float64(period) / float64(rateMemory)
	for service, n := range r.counts {
		r.rates[service] += weight * (float64(n)/period.Seconds() - r.rates[service])
		r.counts[service] = 0
	}
}

func (r *rates) all() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string]float64, len(r.rates))
	for service, rate := range r.rates {
		if rate > 0.01 {
			list[service] = float64(int(rate*100)) / 100
		}
	}
	return list
}
