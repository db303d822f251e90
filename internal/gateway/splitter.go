package gateway

import (
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// splitters spread the requests of routes with several destinations, so that
// any run of requests keeps close to the weights.
type splitters struct {
	mu     sync.Mutex
	points map[string]float64 // by route
}

// goldenStep visits the unit interval evenly for any number of steps.
const goldenStep = 0.6180339887498949

func newSplitters() *splitters { return &splitters{points: map[string]float64{}} }

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
