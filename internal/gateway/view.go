package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// tableAge is how long the tables of targets are used before they are rebuilt
	// even without a change, so that targets get their full share after the warm-up.
	tableAge = 500 * time.Millisecond
	// silentLimit is how long after its last announcement a silent target is still
	// used, as long as it works.
	silentLimit = 8 * time.Second
	// unknownEntries is the number of entry hosts assumed until a control host
	// reports it.
	unknownEntries = 64
	// entriesFall is the largest fraction by which the assumed number of entry hosts
	// decreases in a second.
	entriesFall = 0.03
	// forgetTargets is the time without an announcement after which a target is
	// forgotten.
	forgetTargets = 10 * time.Minute
)

// view holds the entry host's state of the deployment: the policy, the orders, the
// targets and the place of this host among the entry hosts.
type view struct {
	config  *Config
	targets *roster.Roster

	mu        sync.RWMutex
	policy    *policy.Policy // nil before the first one
	orders    uint64         // index of the orders held
	evacuated []string       // availability zones that get no requests
	entries   float64        // live entry hosts, decreases slowly
	rank      int            // place of this host among them
	placedAt  time.Duration  // when the place was last set

	tables   map[string]*affinity.Table // by service
	builtAt  time.Duration              // when the tables were built
	revision uint64                     // of the targets in the tables
	stale    bool                       // the tables must be rebuilt
}

func newView(c *Config) *view {
	return &view{config: c, targets: roster.New(forgetTargets), entries: unknownEntries, stale: true,
		rank: int(xxhash.Sum64String(c.Name) % unknownEntries)}
}

// current returns the policy in force, nil before the first one.
func (v *view) current() *policy.Policy {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.policy
}

// versions returns the version of the policy and the index of the orders held, 0
// for none.
func (v *view) versions() (policy.Version, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.policy == nil {
		return 0, v.orders
	}
	return v.policy.Version, v.orders
}

// setPolicy puts a policy in force and returns true, unless its version is not
// newer than the one in force.
func (v *view) setPolicy(p *policy.Policy) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && v.policy.Version >= p.Version {
		return false
	}
	v.policy, v.stale = p, true
	v.targets.SetServices(p.ServiceNames())
	return true
}

// setOrders puts the orders at an index in force and returns true, unless they are
// not newer than those in force. Departures apply in either case.
func (v *view) setOrders(index uint64, o *desired.Orders) bool {
	for _, d := range o.Departures {
		v.targets.Leave(d.Name, d.Life)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if index <= v.orders {
		return false
	}
	v.orders, v.evacuated, v.stale = index, o.Evacuated, true
	return true
}

// setPlace sets the place of this host among the live entry hosts; 0 entries mean
// that the control host does not know it yet. The number decreases slowly, since a
// control host that is cut off sees fewer entry hosts than share the common limits.
func (v *view) setPlace(now time.Duration, rank, entries int) {
	if entries <= 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.placedAt == 0 {
		v.entries = float64(entries)
	}
	fall := max(0, 1-entriesFall*(now-v.placedAt).Seconds())
	v.rank, v.entries, v.placedAt = rank, max(float64(entries), v.entries*fall), now
}

// place returns the rank of this host among the entry hosts, and their number.
func (v *view) place() (rank, entries int) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.rank, int(v.entries)
}

// table returns the table of a service's usable targets, nil if there are none. It
// rebuilds all tables if they are out of date.
func (v *view) table(now time.Duration, service string) *affinity.Table {
	revision := v.targets.Revision()
	v.mu.RLock()
	t, ok := v.tables[service]
	valid := !v.stale && v.revision == revision && now-v.builtAt < tableAge
	v.mu.RUnlock()
	if valid {
		if !ok {
			return nil
		}
		return t
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.build(now, revision)
	return v.tables[service]
}

// build rebuilds the tables of all services; the lock is held.
func (v *view) build(now time.Duration, revision uint64) {
	lists := map[string][]affinity.Target{}
	for _, t := range v.targets.All() {
		if !v.usable(now, &t) {
			continue
		}
		lists[t.Service] = append(lists[t.Service], affinity.Target{
			Name: t.Name, Zone: t.Zone, Region: v.config.Regions[t.Zone], Slots: t.Slots,
		})
	}
	v.tables = map[string]*affinity.Table{}
	for service, list := range lists {
		v.tables[service] = affinity.NewTable(list, affinity.NewLayout(v.config.Regions, list))
	}
	v.builtAt, v.revision, v.stale = now, revision, false
}

// namedTargets returns the targets of services that the policy names. The others may come
// from another writer, and nothing is to be concluded from whether they can be reached.
func (v *view) namedTargets() []roster.Target {
	return slices.DeleteFunc(v.targets.All(), func(t roster.Target) bool { return t.Unnamed })
}

// usable reports whether a target may get requests: no announcement rules it out, its
// availability zone is not evacuated and, if silent, it announced itself within
// silentLimit.
func (v *view) usable(now time.Duration, t *roster.Target) bool {
	if !t.Usable() || slices.Contains(v.evacuated, t.Zone) {
		return false
	}
	return !t.Silent || now-t.LastHeard < silentLimit
}
