package policy

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Version numbers policies; the one with the highest version is in force.
type Version uint64

// Limits holds the bounds on callers' requests and connections.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without a pending request
}

// Service is a group of targets that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // to one target from all entry hosts, 0 for no limit
	ColdStart      time.Duration // duration of the warm-up after a target's start
	ColdPerSecond  float64       // requests a second that a target tolerates during the warm-up
}

// Policy is one complete version of the operators' routing policy. Index must be
// called before Match and PriorityRank.
type Policy struct {
	Version  Version
	Limits   Limits
	Hosts    []string // all hosts, also those without routes
	Routes   []Route
	Services map[string]Service

	hosts map[string]*hostRoutes // by host in lower case
	// priorities holds the priorities of the routes to each service, ascending.
	priorities map[string][]int
}

// ServiceNames returns the names of all services, sorted.
func (p *Policy) ServiceNames() []string { return slices.Sorted(maps.Keys(p.Services)) }

// Match returns the route of a host with the longest matching prefix of path, nil
// if there is none. The host may have a port, which is ignored.
func (p *Policy) Match(host, path string) *Route {
	if p.hosts == nil {
		return nil
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	h, ok := p.hosts[strings.ToLower(host)]
	if !ok {
		return nil
	}
	return h.match(path)
}

// PriorityRank returns the rank of a route's priority among the distinct priorities
// of all routes to a service, where 0 is the most urgent, and their number.
func (p *Policy) PriorityRank(r *Route, service string) (rank, ranks int) {
	list := p.priorities[service]
	rank, _ = slices.BinarySearch(list, r.Priority)
	return rank, len(list)
}

// Index builds the lookup tables for Match and PriorityRank. It is called once
// after the routes are set.
func (p *Policy) Index() {
	p.hosts, p.priorities = map[string]*hostRoutes{}, map[string][]int{}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		if p.hosts[host] == nil {
			p.hosts[host] = &hostRoutes{prefixes: map[string]*Route{}}
		}
		p.hosts[host].add(r)
		for _, s := range r.Shares {
			if at, found := slices.BinarySearch(p.priorities[s.Service], r.Priority); !found {
				p.priorities[s.Service] = slices.Insert(p.priorities[s.Service], at, r.Priority)
			}
		}
	}
}
