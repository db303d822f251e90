package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// changesMeasured is the number of bundle changes in each measurement.
const changesMeasured = 20

// changeCost holds the cost of one small bundle change.
type changeCost struct {
	slowest float64 // seconds until the change was in force on the last host, maximum over all changes
	bytes   float64 // per host and change, in excess of the idle traffic
	cpu     float64 // seconds of processor time per host and change
}

// measureChanges rolls out small bundle changes to a running deployment and returns
// their cost.
func measureChanges(ctx context.Context, l layout) (changeCost, error) {
	c, err := cluster.Start(ctx, cluster.Options{Bundle: generate(l), Seed: 1})
	if err != nil {
		return changeCost{}, err
	}
	defer c.Stop()
	time.Sleep(settleTime)
	hosts := float64(len(c.Entries) + len(c.Controls))
	idle := totalTraffic(c)
	time.Sleep(settleTime)
	idleRate := (totalTraffic(c) - idle) / settleTime.Seconds()
	var out changeCost
	began, bytes, used := time.Now(), totalTraffic(c), cpu()
	for i := range changesMeasured {
		next := c.Next()
		next.Drains = nil
		if i%2 == 0 {
			next.Drains = []bundle.Drain{{Kind: bundle.DrainTarget, Name: "127.8.100.11:9000"}}
		}
		if l.blocks > 0 {
			next.Blocks = slices.Clone(next.Blocks)
			next.Blocks[i].AvailabilityZone = next.Zones[i%len(next.Zones)].Name
		}
		start := time.Now()
		if err := c.Rollout(ctx, next); err != nil {
			return out, fmt.Errorf("change %d: %w", i, err)
		}
		out.slowest = max(out.slowest, time.Since(start).Seconds())
	}
	lasted := time.Since(began).Seconds()
	out.bytes = max(0, totalTraffic(c)-bytes-idleRate*lasted) / hosts / changesMeasured
	out.cpu = (cpu() - used) / hosts / changesMeasured
	return out, nil
}

// totalTraffic returns the control traffic of all hosts so far, in bytes.
func totalTraffic(c *cluster.Cluster) float64 {
	sum := 0.0
	for _, v := range traffic(c) {
		sum += v
	}
	return sum
}

// rolloutSlopes measures a small bundle change by the number of hosts and by the
// number of caller blocks.
func rolloutSlopes(ctx context.Context) ([]slope, error) {
	inForce := slope{role: "all hosts", figure: "small change in force on the last host, slowest of 20", unit: "s", per: "host", planned: planNodes, budget: budgetInForce}
	bytes := slope{role: "all hosts", figure: "bytes of a small change, mean of all hosts", unit: "bytes", per: "host", planned: planNodes}
	for _, n := range []int{4, 8, 16} {
		got, err := measureChanges(ctx, layout{regions: 2, zones: 4, hostsPerZone: n})
		if err != nil {
			return nil, err
		}
		inForce.add(float64(4*n), got.slowest)
		bytes.add(float64(4*n), got.bytes)
	}
	inForceBlocks := slope{role: "all hosts", figure: "small change in force, 6 hosts, slowest of 20", unit: "s", per: "block", planned: planBlocks, budget: budgetInForce}
	bytesBlocks := slope{role: "all hosts", figure: "bytes of a small change, 6 hosts", unit: "bytes", per: "block", planned: planBlocks}
	cpuBlocks := slope{role: "all hosts", figure: "processor time of a small change", unit: "ms", per: "block", planned: planBlocks}
	for _, n := range []int{1_000, 10_000, 50_000} {
		got, err := measureChanges(ctx, layout{regions: 2, zones: 2, hostsPerZone: 3, blocks: n})
		if err != nil {
			return nil, err
		}
		inForceBlocks.add(float64(n), got.slowest)
		bytesBlocks.add(float64(n), got.bytes)
		cpuBlocks.add(float64(n), 1e3*got.cpu)
	}
	return []slope{inForce, bytes, inForceBlocks, bytesBlocks, cpuBlocks}, nil
}
