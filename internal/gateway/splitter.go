package gateway

import (
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// splitters distributes the requests of routes with several destinations so that
// any sequence of consecutive requests follows the weights closely.
type splitters struct {
	mu     sync.Mutex
	points map[string]float64 // last point in [0, 1) by route
}

// goldenStep is the fractional part of the golden ratio. Steps of this length
// modulo 1 cover the unit interval evenly for any number of steps.
const goldenStep = 0.6180339887498949

func newSplitters() *splitters { return &splitters{points: map[string]float64{}} }

// destination returns the service for the next request of a route.
func (s *splitters) destination(r *policy.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	point := s.points[r.Name] + goldenStep
	if point >= 1 {
		point--
	}
	s.points[r.Name] = point
	return r.Destination(point)
}
