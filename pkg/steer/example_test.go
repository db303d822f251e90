package steer_test

import (
	"fmt"
	"net/netip"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/steer"
)

func exampleBundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Regions: []bundle.Region{{Name: "east"}, {Name: "west"}},
		Zones:   []bundle.AvailabilityZone{{Name: "east-a", Region: "east"}, {Name: "east-b", Region: "east"}, {Name: "west-a", Region: "west"}},
		Links:   []bundle.Link{{Regions: [2]string{"east", "west"}, MbitPerSecond: 280, LatencyMs: 12}},
		Blocks:  []bundle.CallerBlock{{Prefix: "10.1.0.0/16", AvailabilityZone: "east-a"}},
	}
	for _, zone := range []string{"east-a", "east-b", "west-a"} {
		b.Hosts = append(b.Hosts, bundle.Host{Name: zone + "-1", AvailabilityZone: zone, Role: bundle.RoleEntry})
	}
	b.Canonicalize()
	return b
}

// ZoneOrder sorts zones by region and link latency.
func ExampleZoneOrder() {
	fmt.Println(steer.ZoneOrder(exampleBundle(), "east-b"))
	// Output: [east-b east-a west-a]
}

// The answer to a look-up contains no silent host.
func ExamplePicker_Pick() {
	b := exampleBundle()
	blocks, err := steer.NewBlocks(b.Zones, b.Blocks)
	if err != nil {
		fmt.Println(err)
		return
	}
	states := map[string]steer.HostState{
		"east-a-1": {SpareCapacity: 0.8},
		"east-b-1": {SpareCapacity: 0.5},
		"west-a-1": {Silent: true},
	}
	picker := steer.NewPicker(b, blocks, states, "east-a")
	answer := picker.Pick(netip.MustParseAddr("10.1.2.3"), 7)
	for i := range answer.Len() {
		fmt.Println(picker.Host(answer.At(i)).Name)
	}
	// Output:
	// east-a-1
	// east-b-1
}
