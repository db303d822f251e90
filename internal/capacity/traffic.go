package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
)

const (
	settleTime  = 4 * time.Second // after the start, before anything is measured
	observeTime = 5 * time.Second // duration of each measurement
)

// usage is the control traffic and processor time of an idle deployment.
type usage struct {
	entryBytes   float64 // bytes a second in both directions, mean over the entry hosts
	busiestBytes float64 // bytes a second of the busiest entry host
	controlBytes float64 // bytes a second of the busiest control host
	cpu          float64 // percent of a core, mean over all hosts
}

// observe runs a deployment without callers and measures its control traffic and
// processor time.
func observe(ctx context.Context, l layout, targets int) (usage, error) {
	c, err := cluster.Start(ctx, cluster.Options{Bundle: generate(l), Targets: map[string]int{"bookings": targets}, Seed: 1})
	if err != nil {
		return usage{}, fmt.Errorf("%d zones of %d hosts: %w", l.zones, l.hostsPerZone, err)
	}
	defer c.Stop()
	time.Sleep(settleTime)
	before, cpuBefore := traffic(c), cpu()
	time.Sleep(observeTime)
	after, cpuAfter := traffic(c), cpu()
	var u usage
	for name := range c.Entries {
		rate := (after[name] - before[name]) / observeTime.Seconds()
		u.entryBytes += rate / float64(len(c.Entries))
		u.busiestBytes = max(u.busiestBytes, rate)
	}
	for name := range c.Controls {
		u.controlBytes = max(u.controlBytes, (after[name]-before[name])/observeTime.Seconds())
	}
	u.cpu = 100 * (cpuAfter - cpuBefore) / observeTime.Seconds() / float64(len(c.Entries)+len(c.Controls))
	return u, nil
}

// traffic returns the control traffic of each host so far, in bytes.
func traffic(c *cluster.Cluster) map[string]float64 {
	out := map[string]float64{}
	for name, e := range c.Entries {
		out[name] = float64(e.Traffic())
	}
	for name, h := range c.Controls {
		out[name] = float64(h.Traffic())
	}
	return out
}

// trafficSlopes measures control traffic by the number of hosts in a zone, of zones
// and of targets.
func trafficSlopes(ctx context.Context) ([]slope, error) {
	byHosts := func(figure string) slope {
		return slope{role: "entry host", figure: figure + ", 4 zones", unit: "bytes/s", per: "host of a zone", planned: planZoneHosts, budget: budgetBytes}
	}
	mean, busiest := byHosts("control traffic, mean"), byHosts("control traffic, zone coordinator")
	load := slope{role: "all hosts", figure: "processor time for control, 4 zones", unit: "% of a core", per: "host of a zone", planned: planZoneHosts, budget: budgetCPU}
	leader := slope{role: "control host", figure: "control traffic, leader", unit: "bytes/s", per: "entry host", planned: planNodes, budget: budgetBytes}
	for _, n := range []int{2, 4, 8, 16} {
		u, err := observe(ctx, layout{regions: 2, zones: 4, hostsPerZone: n}, 0)
		if err != nil {
			return nil, err
		}
		mean.add(float64(n), u.entryBytes)
		busiest.add(float64(n), u.busiestBytes)
		load.add(float64(n), u.cpu)
		leader.add(float64(4*n), u.controlBytes)
	}
	zones := slope{role: "entry host", figure: "control traffic, mean, 3 hosts in each zone", unit: "bytes/s", per: "zone", planned: planZones, budget: budgetBytes}
	coordinator := slope{role: "entry host", figure: "control traffic, zone coordinator, 3 hosts in each zone", unit: "bytes/s", per: "zone", planned: planZones, budget: budgetBytes}
	for _, n := range []int{2, 4, 8, 16} {
		u, err := observe(ctx, layout{regions: 2, zones: n, hostsPerZone: 3}, 0)
		if err != nil {
			return nil, err
		}
		zones.add(float64(n), u.entryBytes)
		coordinator.add(float64(n), u.busiestBytes)
	}
	targets := slope{role: "entry host", figure: "control traffic, busiest host, 2 zones of 3 hosts", unit: "bytes/s", per: "target", planned: 40, budget: budgetBytes}
	for _, n := range []int{0, 20, 40} {
		u, err := observe(ctx, layout{regions: 2, zones: 2, hostsPerZone: 3}, n)
		if err != nil {
			return nil, err
		}
		targets.add(float64(n), u.busiestBytes)
	}
	return []slope{mean, busiest, load, leader, zones, coordinator, targets}, nil
}
