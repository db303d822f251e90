package capacity

import (
	"net/netip"
	"runtime"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/steer"
)

// blockSizes lists the numbers of caller blocks to measure with.
var blockSizes = []int{10_000, 100_000, 640_000}

// megabyte is the number of bytes in a megabyte.
const megabyte = 1e6

// blockSlopes measures the cost of caller blocks in memory, look-up time and bundle
// changes.
func blockSlopes() ([]slope, error) {
	table := slope{role: "entry host", figure: "heap of the look-up table", unit: "MB", per: "block", planned: planBlocks}
	content := slope{role: "entry host", figure: "heap of the bundle in force", unit: "MB", per: "block", planned: planBlocks}
	digest := slope{role: "entry host", figure: "heap of the bucket digests", unit: "MB", per: "block", planned: planBlocks}
	pick := slope{role: "entry host", figure: "look-up decision", unit: "ns", per: "block", planned: planBlocks, budget: 1000}
	rebuild := slope{role: "entry host", figure: "look-up table built from scratch", unit: "ms", per: "block", planned: planBlocks}
	snapshot := slope{role: "all hosts", figure: "snapshot of the bundle", unit: "MB", per: "block", planned: planBlocks}
	delta := slope{role: "all hosts", figure: "delta of one changed block", unit: "bytes", per: "block", planned: planBlocks}
	diff := slope{role: "control host", figure: "delta computed", unit: "ms", per: "block", planned: planBlocks}
	apply := slope{role: "entry host", figure: "delta applied and verified", unit: "ms", per: "block", planned: planBlocks}
	for _, n := range blockSizes {
		x := float64(n)
		before := heap()
		b := generate(layout{regions: 2, zones: 4, hostsPerZone: 4, blocks: n})
		b.Canonicalize()
		afterBundle := heap()
		content.add(x, (afterBundle-before)/megabyte)
		var blocks *steer.Blocks
		var err error
		rebuild.add(x, 1e3*perCall(1, func(int) { blocks, err = steer.NewBlocks(b.Zones, b.Blocks) }))
		if err != nil {
			return nil, err
		}
		afterTable := heap()
		table.add(x, (afterTable-afterBundle)/megabyte)
		buckets := bundle.NewBuckets(b)
		digest.add(x, (heap()-afterTable)/megabyte)
		pick.add(x, 1e9*pickTime(b, blocks, n))
		if err := deltaPoints(b, buckets, x, &snapshot, &delta, &diff, &apply); err != nil {
			return nil, err
		}
		runtime.KeepAlive(b)
	}
	return []slope{table, content, digest, pick, rebuild, snapshot, delta, diff, apply}, nil
}

// add records the measured value y at size x.
func (s *slope) add(x, y float64) { s.points = append(s.points, point{x, y}) }

// pickTime returns the mean time in seconds of a look-up decision, over callers
// spread over all n blocks.
func pickTime(b *bundle.Bundle, blocks *steer.Blocks, n int) float64 {
	states := map[string]steer.HostState{}
	for _, h := range b.Hosts {
		states[h.Name] = steer.HostState{SpareCapacity: 0.5}
	}
	p := steer.NewPicker(b, blocks, states, b.Zones[0].Name)
	callers := make([]netip.Addr, 4096)
	for i := range callers {
		at := i * 7919 % n
		callers[i] = netip.AddrFrom4([4]byte{byte(10 + at>>16), byte(at >> 8), byte(at), 9})
	}
	return perCall(2_000_000, func(i int) { p.Pick(callers[i&4095], uint64(i)) })
}

// deltaPoints measures the snapshot of bundle b and a change of one of its blocks,
// and adds the results at size x to the given slopes.
func deltaPoints(b *bundle.Bundle, buckets *bundle.Buckets, x float64, snapshot, delta, diff, apply *slope) error {
	data, err := bundle.EncodeSnapshot(b)
	if err != nil {
		return err
	}
	snapshot.add(x, float64(len(data))/megabyte)
	next := *b
	next.Version++
	next.Blocks = append([]bundle.CallerBlock(nil), b.Blocks...)
	next.Blocks[len(next.Blocks)/2].AvailabilityZone = b.Zones[0].Name
	var d *bundle.Delta
	diff.add(x, 1e3*perCall(1, func(int) { d = bundle.NewDelta(b, &next) }))
	encoded, err := cbor.Marshal(d)
	if err != nil {
		return err
	}
	delta.add(x, float64(len(encoded)))
	apply.add(x, 1e3*perCall(1, func(int) {
		var applied *bundle.Bundle
		if applied, err = bundle.Apply(b, d); err == nil {
			buckets.Update(applied, d.Changes)
		}
	}))
	return err
}
