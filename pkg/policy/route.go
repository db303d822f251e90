package policy

import (
	"slices"
	"time"
)

// Share is one destination of a route with its weight.
type Share struct {
	Service string
	Weight  int
}

// Route defines how the requests to a host under a path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Objective   time.Duration // response time to aim for
	Priority    int           // 0 is the most urgent
	Sticky      bool          // targets are faster for objects that they handled recently
	Shares      []Share       // at least one
	Timeout     time.Duration // longest time that a request may wait for its answer
	MaxAttempts int           // limit of the attempts of one request that may have run
	Regions     []string      // regions that may serve it; empty means all
}

// Allows reports whether targets of a region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Weight returns the sum of the weights of all destinations.
func (r *Route) Weight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// Destination returns the service for a point in [0, 1): each destination has a
// part of this interval in proportion to its weight, in the order of Shares.
func (r *Route) Destination(point float64) string {
	at := point * float64(r.Weight())
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
