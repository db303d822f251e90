package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
	"github.com/hornbeamstack/hornbeamstack/internal/node"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// deployment describes a deployment that the cases run on.
type deployment struct {
	name    string
	file    string         // TOML file of the bundle
	service string         // service with the stricter performance target
	export  string         // service that receives the bulk requests
	targets map[string]int // number of targets by service
}

// deployments lists both example deployments.
var deployments = []deployment{
	{"ireland", "examples/ireland.toml", "bookings", "library", map[string]int{"bookings": 22, "library": 12}},
	{"srilanka", "examples/srilanka.toml", "limits-svc", "statements-svc", map[string]int{"limits-svc": 24, "statements-svc": 12}},
}

// testbed is a running deployment and the HTTP client of its callers.
type testbed struct {
	*cluster.Cluster
	deployment deployment
	policy     string
	client     *http.Client
	cancel     context.CancelFunc
}

// startTestbed starts a deployment under a policy and returns once its targets are
// known. A policy other than policyCurrent replaces the permits of the entry hosts.
// If change is not nil, it modifies the options first.
func startTestbed(ctx context.Context, d deployment, policy string, change func(*cluster.Options)) (*testbed, error) {
	ctx, cancel := context.WithCancel(ctx)
	o := cluster.Options{
		BundleFile: d.file, Targets: d.targets, Seed: 1,
		Edit: func(b *bundle.Bundle) {
			for i := range b.Services {
				b.Services[i].WarmUpMs = 1 // the load is measured on warmed-up targets
			}
		},
	}
	var permits *unlimitedPermits
	if policy != policyCurrent {
		permits = newUnlimitedPermits(policy == policyLeastLoad)
		o.Entry = []node.EntryOption{node.WithPermits(permits)}
	}
	if change != nil {
		change(&o)
	}
	c, err := cluster.Start(ctx, o)
	if err != nil {
		cancel()
		return nil, err
	}
	b := &testbed{Cluster: c, deployment: d, policy: policy, client: newCaller(), cancel: cancel}
	if permits != nil {
		for _, t := range c.Targets {
			permits.add(t.Service(), t)
		}
		go permits.run(ctx)
	}
	return b, b.waitServing(ctx)
}

// stop stops the deployment and closes the idle connections of the callers.
func (b *testbed) stop() {
	b.cancel()
	b.client.CloseIdleConnections()
	b.Cluster.Stop()
}

// entries returns the HTTP addresses of the entry hosts in the given regions, or of
// all entry hosts if no region is given.
func (b *testbed) entries(regions ...string) []string {
	inRegion := map[string]bool{}
	for _, z := range b.Bundle.Zones {
		for _, r := range regions {
			if z.Region == r {
				inRegion[z.Name] = true
			}
		}
	}
	var out []string
	for _, h := range b.Bundle.Hosts {
		if h.Role == bundle.RoleEntry && (len(regions) == 0 || inRegion[h.AvailabilityZone]) {
			out = append(out, h.HTTP)
		}
	}
	return out
}

// slots returns the total number of slots of all targets of a service.
func (b *testbed) slots(service string) int {
	for _, s := range b.Bundle.Services {
		if s.Name == service {
			return s.Slots * b.deployment.targets[service]
		}
	}
	return 0
}

// waitServing waits until each zone knows all of its targets, under policyCurrent
// only, and then until the summaries of the zones have spread.
func (b *testbed) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for {
		if b.policy != policyCurrent || b.knownTargets() == len(b.Targets) {
			break
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for targets to be announced: %d of %d are known: %w", b.knownTargets(), len(b.Targets), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	// Summaries reach all zones within two summary intervals.
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// knownTargets returns the number of known targets over all zones. In each zone it
// counts those that the best informed entry host knows of its own zone.
func (b *testbed) knownTargets() int {
	known := map[string]int{}
	for _, h := range b.Bundle.Hosts {
		e, ok := b.Entries[h.Name]
		if !ok {
			continue
		}
		for _, z := range e.Zone().View().Zones {
			if z.Name != h.AvailabilityZone {
				continue
			}
			n := 0
			for _, s := range z.Services {
				n += s.Targets
			}
			known[z.Name] = max(known[z.Name], n)
		}
	}
	sum := 0
	for _, n := range known {
		sum += n
	}
	return sum
}

// targetStats returns the summed counters of all targets of a service.
func (b *testbed) targetStats(service string) standin.Stats {
	var sum standin.Stats
	for _, t := range b.Targets {
		if t.Service() != service {
			continue
		}
		s := t.Stats()
		sum.Received += s.Received
		sum.AboveSlots += s.AboveSlots
		sum.Completed += s.Completed
		sum.Cancelled += s.Cancelled
	}
	return sum
}
