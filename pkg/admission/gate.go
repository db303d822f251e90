package admission

import (
	"sync"
	"time"
)

const (
	// busyLoad and calmLoad bound the average number of requests at a target per
	// slot: above busyLoad the refused share may grow, below calmLoad it shrinks.
	busyLoad = 2.8
	calmLoad = 2.4
	// maxTimedOut is the share of a service's requests that may time out before busy
	// targets refuse any; below lowTimedOut the refused share shrinks. A long queue
	// is harmless as long as its requests are answered in time.
	maxTimedOut = 0.05
	lowTimedOut = 0.02
	// growth is the increase of the refused share per second and per unit of load above
	// busyLoad, limited to maxGrowth per second. decay is its decrease per second.
	growth    = 0.2
	maxGrowth = 0.2
	decay     = 0.1
	// maxRefused bounds the refused share, so that every target still gets enough
	// work to show whether it is overloaded.
	maxRefused = 0.3
)

// Load describes how busy a target is.
type Load struct {
	PerSlot  float64 // average number of requests at the target per slot
	TimedOut float64 // share of the requests of its service that time out
}

// Gate holds, for each target, the share of its requests that is refused. It is
// safe for concurrent use.
type Gate struct {
	mu            sync.RWMutex
	refusedShares map[string]float64
}

// NewGate returns a gate that refuses nothing.
func NewGate() *Gate { return &Gate{refusedShares: map[string]float64{}} }

// Step adjusts the refused shares to the loads of all targets over a period.
// Targets missing from loads are forgotten.
func (g *Gate) Step(period time.Duration, loads map[string]Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, load := range loads {
		part := g.refusedShares[name]
		switch {
		case load.PerSlot > busyLoad && load.TimedOut > maxTimedOut:
			part = min(maxRefused, part+min(maxGrowth, (load.PerSlot-busyLoad)*growth)*period.Seconds())
		case load.PerSlot < calmLoad || load.TimedOut < lowTimedOut:
			part -= decay * period.Seconds()
		}
		if part > 0 {
			g.refusedShares[name] = part
		} else {
			delete(g.refusedShares, name)
		}
	}
	for name := range g.refusedShares {
		if _, ok := loads[name]; !ok {
			delete(g.refusedShares, name)
		}
	}
}

// Admits reports whether a request to a target may be sent. point is a random
// value in [0, 1) drawn for the request. rank is its urgency, from 0, the most
// urgent, to ranks-1. Requests of a rank are refused only once all requests of
// less urgent ranks are.
func (g *Gate) Admits(target string, point float64, rank, ranks int) bool {
	g.mu.RLock()
	part := g.refusedShares[target]
	g.mu.RUnlock()
	return point >= float64(ranks)*part-float64(ranks-1-rank)
}
