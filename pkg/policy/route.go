package policy

import (
	"slices"
	"time"
)

// Share is one destination of a route.
type Share struct {
	Service string
	Weight  int
}

// Route says what happens to the requests of a host under a path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Objective   time.Duration // response time that callers hope for
	Priority    int           // 0 is the most urgent
	Sticky      bool          // targets are faster for objects that they handled lately
	Shares      []Share       // at least one
	Timeout     time.Duration // longest time a request is kept waiting
	MaxAttempts int           // targets that one request may be sent to
	Regions     []string      // regions that may serve it; empty means all
}

// Allows reports whether targets of a region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Weight is the sum of the weights of all destinations.
func (r *Route) Weight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// Destination returns the service for a point in [0, 1) of the weights' line.
func (r *Route) Destination(point float64) string {
	at := point * float64(r.Weight())
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
