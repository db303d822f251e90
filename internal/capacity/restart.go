package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
)

// restartBlocks is the number of caller blocks in the bundle; it makes the snapshot
// that a restarted host fetches large enough to measure.
const restartBlocks = 20_000

// restartSlopes measures a simultaneous restart of all hosts of a zone by their
// number.
func restartSlopes(ctx context.Context) ([]slope, error) {
	ready := slope{role: "entry host", figure: fmt.Sprintf("all hosts of a zone restarted at once: last one serves, %d blocks", restartBlocks),
		unit: "s", per: "host of a zone", planned: planZoneHosts}
	bytes := slope{role: "entry host", figure: fmt.Sprintf("all hosts of a zone restarted at once: bytes for each, %d blocks", restartBlocks),
		unit: "bytes", per: "host of a zone", planned: planZoneHosts}
	for _, n := range []int{2, 4, 8} {
		took, perHost, err := restartZone(ctx, n)
		if err != nil {
			return nil, err
		}
		ready.add(float64(n), took)
		bytes.add(float64(n), perHost)
	}
	return []slope{ready, bytes}, nil
}

// restartZone restarts all n entry hosts of a zone simultaneously. It returns the
// time until the last of them is ready and the mean traffic of each until then.
func restartZone(ctx context.Context, n int) (seconds, bytes float64, err error) {
	c, err := cluster.Start(ctx, cluster.Options{Bundle: generate(layout{regions: 2, zones: 2, hostsPerZone: n, blocks: restartBlocks}), Seed: 1})
	if err != nil {
		return 0, 0, err
	}
	defer c.Stop()
	time.Sleep(settleTime)
	var names []string
	for _, h := range c.Bundle.Hosts {
		if _, ok := c.Entries[h.Name]; ok && h.AvailabilityZone == c.Bundle.Zones[0].Name {
			names = append(names, h.Name)
		}
	}
	began := time.Now()
	if err := c.RestartAll(names); err != nil {
		return 0, 0, err
	}
	for _, name := range names {
		for !c.Entries[name].Ready() {
			time.Sleep(time.Millisecond)
		}
	}
	seconds = time.Since(began).Seconds()
	for _, name := range names {
		bytes += float64(c.Entries[name].Traffic()) / float64(len(names))
	}
	return seconds, bytes, nil
}
