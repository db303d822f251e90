package bundle

import (
	"math"

	"github.com/hornbeamstack/hornbeamstack/pkg/link"
)

const (
	// MinFloorBytesPerSecond is the smallest floor that can carry one request
	// within a second: opening a cross-region connection charges 64 KB for its
	// receive buffer.
	MinFloorBytesPerSecond = 64 << 10

	bytesPerMbit = 1_000_000 / 8
)

// FloorBytesPerSecond returns the share that each entry host of a link's regions
// may use without a lease, in one direction.
func FloorBytesPerSecond(mbitPerSecond float64, entryHosts int) float64 {
	return link.Floor(mbitPerSecond*bytesPerMbit, entryHosts)
}

func (c *checker) checkLinks() {
	seen := keyByValue{}
	for i, l := range c.b.Links {
		known := true
		for j, region := range l.Regions {
			if !c.regions[region] {
				c.add(keyAt(keyAt("link", i, "regions"), j, ""), "region %q does not exist", region)
				known = false
			}
		}
		switch {
		case known && l.Regions[0] == l.Regions[1]:
			c.add(keyAt("link", i, "regions"), "joins region %q with itself", l.Regions[0])
		case known:
			c.unique(seen, keyAt("link", i, "regions"), linkKey(&l))
		}
		c.checkCap(i, &l)
		if l.LatencyMs < 0 || math.IsNaN(l.LatencyMs) {
			c.add(keyAt("link", i, "latency_ms"), "must not be negative")
		}
	}
	c.checkMissingLinks(seen)
}

// checkCap checks the cap of a link and that it leaves each entry host a floor
// of at least MinFloorBytesPerSecond.
func (c *checker) checkCap(i int, l *Link) {
	key := keyAt("link", i, "mbit_per_second")
	if !(l.MbitPerSecond > 0) || math.IsInf(l.MbitPerSecond, 0) { // also catches NaN
		c.add(key, "must be a number above 0, not %v", l.MbitPerSecond)
		return
	}
	hosts := 0
	for _, h := range c.b.Hosts {
		if region := c.zones[h.AvailabilityZone]; h.Role == RoleEntry && (region == l.Regions[0] || region == l.Regions[1]) {
			hosts++
		}
	}
	if floor := FloorBytesPerSecond(l.MbitPerSecond, hosts); hosts > 0 && floor < MinFloorBytesPerSecond {
		c.add(key, "%v Mbit/s leaves each of %d entry hosts a floor of %.0f bytes/s; one request needs %d bytes/s",
			l.MbitPerSecond, hosts, floor, MinFloorBytesPerSecond)
	}
}

// checkMissingLinks adds a finding for each pair of regions without a link.
func (c *checker) checkMissingLinks(linked keyByValue) {
	for i, a := range c.b.Regions {
		for _, b := range c.b.Regions[:i] {
			if _, ok := linked[linkKey(&Link{Regions: [2]string{a.Name, b.Name}})]; !ok && a.Name != b.Name {
				c.add("link", "regions %q and %q have no link", b.Name, a.Name)
			}
		}
	}
}
