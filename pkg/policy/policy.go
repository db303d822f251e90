package policy

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Version orders policies; the highest is in force.
type Version uint64

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration // to receive a request's header
	IdleTimeout   time.Duration // of a connection without a request
}

// Service is a group of targets that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // of one target, over all entry hosts
	ColdStart      time.Duration // how long a target is slow after its start
	ColdPerSecond  float64       // requests a cold target tolerates
}

// Policy is one complete version of the operators' routing policy.
type Policy struct {
	Version  Version
	Limits   Limits
	Hosts    []string // all hosts, also those without routes
	Routes   []Route
	Services map[string]Service

	hosts map[string][]*Route
	// priorities holds the priorities of the routes to each service, ascending.
	priorities map[string][]int
}

// Match returns the route of a host with the longest prefix of path, nil if there is none.
func (p *Policy) Match(host, path string) *Route {
	if p.hosts == nil {
		return nil
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, r := range p.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PriorityRank returns the rank of a route among the priorities of all routes to a
// service, 0 the most urgent, and how many there are.
func (p *Policy) PriorityRank(r *Route, service string) (rank, ranks int) {
	list := p.priorities[service]
	rank, _ = slices.BinarySearch(list, r.Priority)
	return rank, len(list)
}

// Index prepares Match and Urgency; it is called once after the routes are set.
func (p *Policy) Index() {
	p.hosts, p.priorities = map[string][]*Route{}, map[string][]int{}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		p.hosts[host] = append(p.hosts[host], r)
		for _, s := range r.Shares {
			if at, found := slices.BinarySearch(p.priorities[s.Service], r.Priority); !found {
				p.priorities[s.Service] = slices.Insert(p.priorities[s.Service], at, r.Priority)
			}
		}
	}
}
