package admission

import (
	"sync"
	"time"
)

const (
	// busyLoad and calmLoad are the average requests at a target, for each of its
	// slots, above which more may be refused and below which less is.
	busyLoad = 2.8
	calmLoad = 2.4
	// maxTimedOut is the part of a service's requests that may run out of time
	// before busy targets refuse some, keptShare the part below which they refuse
	// less: a long queue whose requests are answered in time does no harm.
	maxTimedOut = 0.05
	lowTimedOut = 0.02
	// growth is by how much the refused part grows in a second for each unit of load
	// beyond busyLoad, at most maxRise; fall is by how much it shrinks in a second.
	growth    = 0.2
	maxGrowth = 0.2
	decay     = 0.1
	// maxRefused leaves each target work that shows whether it is still busy.
	maxRefused = 0.3
)

// Load is what is known of a target's work.
type Load struct {
	PerSlot  float64 // average requests at the target, for each of its slots
	TimedOut float64 // part of the requests of its service that run out of time
}

// Gate holds the part of the requests to each target that is refused. It is
// safe for concurrent use.
type Gate struct {
	mu            sync.RWMutex
	refusedShares map[string]float64
}

// NewGate returns a gate that refuses nothing.
func NewGate() *Gate { return &Gate{refusedShares: map[string]float64{}} }

// Step takes the loads of all targets for a period.
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

// Admits reports whether a request to a target is sent. Point, in [0, 1), is
// drawn for the request. Rank is that of its urgency among ranks, 0 the most
// urgent: requests of a rank are refused once all less urgent ones are.
func (g *Gate) Admits(target string, point float64, rank, ranks int) bool {
	g.mu.RLock()
	part := g.refusedShares[target]
	g.mu.RUnlock()
	return point >= float64(ranks)*part-float64(ranks-1-rank)
}
