package policy

import (
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// MaxTimeout is the longest timeout allowed for a route.
const MaxTimeout = 10 * time.Minute

// Check returns all problems that make the policy unusable, each with its source
// and key.
func (p *Policy) Check(source string) finding.List {
	var found finding.List
	for i, host := range p.Hosts {
		if host == "" {
			found.Add(source, 0, fmt.Sprintf("hosts[%d]", i), "host is empty")
		}
	}
	for i := range p.Routes {
		p.checkRoute(&found, source, i)
	}
	for name, s := range p.Services {
		if name == "" {
			found.Add(source, 0, "services", "a service has no name")
		}
		if s.ColdPerSecond < 0 || s.ColdStart < 0 {
			found.Add(source, 0, "services."+name, "cold start limits must not be negative")
		}
	}
	return found
}

// checkRoute adds the problems of the route at index i.
func (p *Policy) checkRoute(found *finding.List, source string, i int) {
	r := &p.Routes[i]
	key := fmt.Sprintf("routes[%d] %q", i, r.Name)
	add := func(format string, args ...any) { found.Add(source, 0, key, format, args...) }
	if r.Host == "" {
		add("host is empty")
	}
	if r.Timeout <= 0 {
		add("timeout %s is not positive", r.Timeout)
	}
	if r.Timeout > MaxTimeout {
		add("timeout %s is over %s", r.Timeout, MaxTimeout)
	}
	if r.MaxAttempts < 1 {
		add("max attempts %d is below 1", r.MaxAttempts)
	}
	if len(r.Shares) == 0 {
		add("no destination is named")
		return
	}
	for _, s := range r.Shares {
		if _, ok := p.Services[s.Service]; !ok {
			add("service %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			add("weight %d of service %q is negative", s.Weight, s.Service)
		}
	}
	if r.Weight() <= 0 {
		add("weights add up to %d", r.Weight())
	}
}
