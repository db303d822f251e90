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

// deployment describes the deployment that a case runs on.
type deployment struct {
	name    string // of the deployment
	file    string
	service string // with the tighter promise
	export  string // with the bulk requests
	targets map[string]int
}

// Shapes of both deployments of the brief.
var deployments = []deployment{
	{"ireland", "examples/ireland.toml", "bookings", "library", map[string]int{"bookings": 22, "library": 12}},
	{"srilanka", "examples/srilanka.toml", "limits-svc", "statements-svc", map[string]int{"limits-svc": 24, "statements-svc": 12}},
}

// testbed is a started deployment with its callers.
type testbed struct {
	*cluster.Cluster
	deployment deployment
	policy     string
	client     *http.Client
	cancel     context.CancelFunc
}

// startTestbed starts a deployment under a policy, with warm targets.
func startTestbed(ctx context.Context, s deployment, policy string, change func(*cluster.Options)) (*testbed, error) {
	ctx, cancel := context.WithCancel(ctx)
	o := cluster.Options{
		BundleFile: s.file, Targets: s.targets, Seed: 1,
		Edit: func(b *bundle.Bundle) {
			for i := range b.Services {
				b.Services[i].WarmUpMs = 1 // the load starts on warm targets
			}
		},
	}
	var free *unlimitedPermits
	if policy != policyCurrent {
		free = newUnlimitedPermits(policy == policyLeastLoad)
		o.Entry = []node.EntryOption{node.WithPermits(free)}
	}
	if change != nil {
		change(&o)
	}
	c, err := cluster.Start(ctx, o)
	if err != nil {
		cancel()
		return nil, err
	}
	b := &testbed{Cluster: c, deployment: s, policy: policy, client: newCaller(), cancel: cancel}
	if free != nil {
		for _, t := range c.Targets {
			free.add(t.Service(), t)
		}
		go free.run(ctx)
	}
	return b, b.waitServing(ctx)
}

func (b *testbed) stop() {
	b.cancel()
	b.client.CloseIdleConnections()
	b.Cluster.Stop()
}

// entries returns the HTTP addresses of entry hosts, of the given regions or of all.
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

// slots returns the number of slots of a service over all its targets.
func (b *testbed) slots(service string) int {
	for _, s := range b.Bundle.Services {
		if s.Name == service {
			return s.Slots * b.deployment.targets[service]
		}
	}
	return 0
}

// waitServing waits until the zones know all targets and every entry host serves.
func (b *testbed) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for {
		if b.policy != policyCurrent || b.knownTargets() == len(b.Targets) {
			break
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d targets are known: %w", b.knownTargets(), len(b.Targets), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	// Summaries reach all zones within two intervals.
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// knownTargets counts targets over the zones, as one entry host of each zone sees its own.
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

// targetStats sums the counts of the targets of a service.
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
