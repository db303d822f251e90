package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/pkg/partition"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// reach tracks whether this host itself reaches targets. Requests pass relays, which reach
// targets from another host, so that only those sent directly count. It is safe for
// concurrent use.
type reach struct {
	mu       sync.Mutex
	detector *partition.Detector
	// lost holds the connections to targets that were lost since a target was reached, by
	// target. They are evidence about the targets only if this host is not cut off.
	lost map[string]int
}

func newReach() *reach { return &reach{detector: partition.New(), lost: map[string]int{}} }

// takeLost returns the connections that were lost and begins to count anew, so that the map
// it returns belongs to the caller. The caller holds mu.
func (r *reach) takeLost() map[string]int {
	if len(r.lost) == 0 {
		return nil
	}
	lost := r.lost
	r.lost = map[string]int{}
	return lost
}

// isCut reports whether this host is cut off from all targets.
func (r *reach) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.IsCut()
}

// targetFailed records that a target was not reached directly.
func (g *Gateway) targetFailed(t *roster.Target) {
	all := g.view.namedTargets()
	zones := map[string]bool{}
	for i := range all {
		zones[all[i].Zone] = true
	}
	g.reach.mu.Lock()
	change := g.reach.detector.Failed(g.now(), t.Name, t.Zone, partition.Known{Targets: len(all), Zones: len(zones)})
	_, failed := g.reach.detector.Since()
	if change == partition.Cut {
		clear(g.reach.lost)
	}
	g.reach.mu.Unlock()
	if change == partition.Cut {
		g.meters.count("targets.cut_off")
		g.log.Warn("cut off from targets", "failed", failed, "last", t.Name, "known", len(all), "zones", len(zones), "relay", g.relays.usable())
	}
}

// targetReached records that a target was reached on a new connection.
func (g *Gateway) targetReached() {
	g.reach.mu.Lock()
	since, failed := g.reach.detector.Since()
	change := g.reach.detector.Reached()
	lost := g.reach.takeLost()
	g.reach.mu.Unlock()
	for target, n := range lost {
		for range n {
			g.reports.work(target, false)
		}
	}
	if change == partition.Healed {
		g.meters.count("targets.reached_again")
		g.log.Info("targets reached again", "cut_for", g.now()-since, "failed", failed)
	}
}

// reportLost reports the loss of a connection to a target once this host has reached any
// target, and not at all if it is cut off: other hosts would leave a sound target.
func (g *Gateway) reportLost(target string) {
	g.reach.mu.Lock()
	defer g.reach.mu.Unlock()
	if !g.reach.detector.IsCut() {
		g.reach.lost[target]++
	}
}

// unreachable reports whether no target can be reached, neither directly nor by a relay.
func (g *Gateway) unreachable() bool { return g.reach.isCut() && !g.relays.usable() }

// probeTargets tries to reach a target, now and then while this host is cut off.
func (g *Gateway) probeTargets() {
	g.reach.mu.Lock()
	due := g.reach.detector.Probe(g.now())
	g.reach.mu.Unlock()
	all := g.view.namedTargets()
	if !due || len(all) == 0 {
		return
	}
	t := all[rand.IntN(len(all))]
	go func() {
		begun := time.Now()
		u, err := g.pool.Dial(endpoint(&t), hop.DialTimeout)
		if err != nil {
			g.log.Debug("target not reached", "target", t.Name, "after", time.Since(begun), "err", err)
			return
		}
		u.Close()
		g.targetReached()
	}()
}
