package affinity

import (
	"maps"
	"sync"
	"time"
)

const (
	// loadAveragingTime is the time over which the loads of a target are averaged.
	loadAveragingTime = 2 * time.Second
	// maxLoadAge is the age after which an average says nothing.
	maxLoadAge = 10 * time.Second
	// busyLoad and calmLoad are the average requests at a target, for each of
	// its slots, above which it hands objects over and below which it takes
	// them back.
	busyLoad = 0.8
	calmLoad = 0.5
	// moveRate and takeBack are the parts of a target's objects that move in a
	// second, for each unit of load beyond busyLoad or in all.
	moveRate      = 0.25
	returnRate    = 0.03
	maxMovedShare = 0.6
)

// LoadAverage is the load of a target as seen by several hosts.
type LoadAverage struct {
	value   float64
	updated time.Duration
}

// Add takes a reported load.
func (a *LoadAverage) Add(now time.Duration, load float64) {
	if a.updated == 0 {
		a.value, a.updated = load, now
		return
	}
	weight := min(1, max(0.1, float64(now-a.updated)/float64(loadAveragingTime)))
	a.value += weight * (load - a.value)
	a.updated = max(a.updated, now)
}

// Value returns the average, 0 if it is too old.
func (a *LoadAverage) Value(now time.Duration) float64 {
	if now-a.updated > maxLoadAge {
		return 0
	}
	return a.value
}

// Balancer decides which part of its objects each busy target hands over to
// their second homes. Whole objects move, so that they stay warm where they
// are. It is safe for concurrent use.
type Balancer struct {
	mu    sync.RWMutex
	loads map[string]float64 // requests at a target for each of its slots
	moved map[string]float64 // part of its objects that a target has handed over
}

// NewBalancer returns a balance in which every object is at its first home.
func NewBalancer() *Balancer {
	return &Balancer{loads: map[string]float64{}, moved: map[string]float64{}}
}

// Step takes the loads of all targets and moves objects for a period.
func (b *Balancer) Step(period time.Duration, loads map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads = maps.Clone(loads)
	for name, load := range loads {
		part := b.moved[name]
		if load > busyLoad {
			part = min(maxMovedShare, part+min(load-busyLoad, 1)*moveRate*period.Seconds())
		} else if load < calmLoad {
			part -= returnRate * period.Seconds()
		}
		if part > 0 {
			b.moved[name] = part
		} else {
			delete(b.moved, name)
		}
	}
	for name := range b.moved {
		if _, ok := loads[name]; !ok {
			delete(b.moved, name)
		}
	}
}

// IsMoved reports whether an object is served by its second home.
func (b *Balancer) IsMoved(object uint64, first, second string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	part := b.moved[first]
	return part > 0 && b.moved[second] == 0 && toUnitInterval(mix(object^moveSalt)) < part
}

// moveSalt makes the choice of moved objects independent of their homes.
const moveSalt = 0xc2b2ae3d27d4eb4f
