package affinity

import (
	"maps"
	"sync"
	"time"
)

const (
	// loadAveragingTime is the time over which the reported loads of a target are averaged.
	loadAveragingTime = 2 * time.Second
	// maxLoadAge is the age above which an average is no longer used.
	maxLoadAge = 10 * time.Second
	// busyLoad is the average number of requests per slot above which a target moves
	// objects to their second homes. Below calmLoad it takes them back.
	busyLoad = 0.8
	calmLoad = 0.5
	// moveRate is the share of a target's objects that moves away per second for each
	// unit of load above busyLoad. returnRate is the share that returns per second
	// below calmLoad.
	moveRate      = 0.25
	returnRate    = 0.03
	maxMovedShare = 0.6 // largest share of a target's objects that may be moved
)

// LoadAverage is a moving average of the load of a target, as reported by several
// hosts. It is not safe for concurrent use.
type LoadAverage struct {
	value   float64
	updated time.Duration
}

// Add records a reported load, in requests per slot.
func (a *LoadAverage) Add(now time.Duration, load float64) {
	if a.updated == 0 {
		a.value, a.updated = load, now
		return
	}
	weight := min(1, max(0.1, float64(now-a.updated)/float64(loadAveragingTime)))
	a.value += weight * (load - a.value)
	a.updated = max(a.updated, now)
}

// Value returns the average, or 0 if the last report is too old.
func (a *LoadAverage) Value(now time.Duration) float64 {
	if now-a.updated > maxLoadAge {
		return 0
	}
	return a.value
}

// Balancer decides which share of its objects each busy target moves to their second
// homes. It moves whole objects instead of single requests, so that an object stays in
// the cache of the target that serves it. It is safe for concurrent use.
type Balancer struct {
	mu    sync.RWMutex
	loads map[string]float64 // requests per slot, by target name
	moved map[string]float64 // share of its objects that a target has moved away, by target name
}

// NewBalancer returns a balancer in which every object is at its first home.
func NewBalancer() *Balancer {
	return &Balancer{loads: map[string]float64{}, moved: map[string]float64{}}
}

// Step replaces the loads of all targets and adjusts the moved shares for a period of
// time. A target missing from loads has no moved objects afterwards.
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

// IsMoved reports whether an object is served by its second home. Objects do not move
// to a target that moves objects away itself.
func (b *Balancer) IsMoved(object uint64, first, second string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	part := b.moved[first]
	return part > 0 && b.moved[second] == 0 && toUnitInterval(mix(object^moveSalt)) < part
}

// moveSalt makes the choice of the moved objects independent of their homes.
const moveSalt = 0xc2b2ae3d27d4eb4f
