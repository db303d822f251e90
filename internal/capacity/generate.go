package capacity

import (
	"fmt"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// layout is the size of a generated deployment.
type layout struct{ regions, zones, hostsPerZone, blocks int }

// generate returns a bundle of the given size on loopback addresses. Zones are
// distributed over the regions round-robin, and three control hosts over the first
// zones.
func generate(l layout) *bundle.Bundle {
	b := &bundle.Bundle{Version: 1, Deployment: "generated"}
	for r := range l.regions {
		b.Regions = append(b.Regions, bundle.Region{Name: fmt.Sprintf("region-%d", r), ZoneLatencyMs: 0.5, CallerLatencyMs: 3})
		for other := range r {
			b.Links = append(b.Links, bundle.Link{Regions: [2]string{b.Regions[other].Name, b.Regions[r].Name}, MbitPerSecond: 4000, LatencyMs: 20})
		}
	}
	for z := range l.zones {
		name := fmt.Sprintf("zone-%02d", z)
		b.Zones = append(b.Zones, bundle.AvailabilityZone{Name: name, Region: b.Regions[z%l.regions].Name,
			TargetPrefixes: []string{fmt.Sprintf("127.8.%d.0/24", 100+z)}})
		for h := range l.hostsPerZone {
			b.Hosts = append(b.Hosts, hostAt(fmt.Sprintf("%s-entry-%02d", name, h), name, bundle.RoleEntry, z, 1+h))
		}
	}
	for c := range 3 {
		z := b.Zones[c%len(b.Zones)]
		b.Hosts = append(b.Hosts, hostAt(fmt.Sprintf("control-%d", c), z.Name, bundle.RoleControl, c%len(b.Zones), 200+c))
	}
	b.Services = []bundle.Service{{Name: "bookings", Targets: 4 * l.zones, Slots: 4, Connections: 850, RequestTimeoutMs: 5000,
		WarmUpMs: 1000, RepeatableMethods: []string{"GET", "HEAD"}, BulkPrefixes: []string{"/exports/"}}}
	b.Blocks = blocks(b.Zones, l.blocks)
	b.Canonicalize() // bundle.Parse does the same
	return b
}

// hostAt returns a host on address 127.8.net.host.
func hostAt(name, zone string, role bundle.Role, net, host int) bundle.Host {
	ip := fmt.Sprintf("127.8.%d.%d", net, host)
	return bundle.Host{Name: name, AvailabilityZone: zone, Role: role, Peer: ip + ":7000", HTTP: ip + ":8000"}
}

// blocks returns n caller blocks with distinct /24 prefixes, assigned to the zones
// round-robin.
func blocks(zones []bundle.AvailabilityZone, n int) []bundle.CallerBlock {
	out := make([]bundle.CallerBlock, n)
	for i := range out {
		out[i] = bundle.CallerBlock{
			Prefix:           fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&0xff, i&0xff),
			AvailabilityZone: zones[i%len(zones)].Name,
		}
	}
	return out
}
