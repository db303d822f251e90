package bundle

import (
	"cmp"
	"net/netip"
	"slices"
)

func (c *checker) checkRegions() {
	seen := duplicates{}
	if len(c.b.Regions) == 0 {
		c.add("region", "at least one region is needed")
	}
	for i, r := range c.b.Regions {
		key := at("region", i, "name")
		c.name(key, r.Name)
		c.unique(seen, key, r.Name)
		c.regions[r.Name] = true
		if r.ZoneLatencyMs < 0 {
			c.add(at("region", i, "zone_latency_ms"), "must not be negative")
		}
		if r.CallerLatencyMs < 0 {
			c.add(at("region", i, "caller_latency_ms"), "must not be negative")
		}
	}
}

func (c *checker) checkZones() {
	seen := duplicates{}
	for i, z := range c.b.Zones {
		key := at("zone", i, "name")
		c.name(key, z.Name)
		c.unique(seen, key, z.Name)
		c.zones[z.Name] = z.Region
		switch {
		case z.Region == "":
			c.add(at("zone", i, "region"), "is missing")
		case !c.regions[z.Region]:
			c.add(at("zone", i, "region"), "region %q does not exist", z.Region)
		}
		if len(z.TargetPrefixes) == 0 {
			c.add(at("zone", i, "target_prefixes"), "is missing; targets could not announce themselves")
		}
	}
}

// placedPrefix is a prefix with its place in the file.
type placedPrefix struct {
	prefix netip.Prefix
	key    func() string
}

func (c *checker) checkTargetPrefixes() {
	var all []placedPrefix
	for i, z := range c.b.Zones {
		for j, text := range z.TargetPrefixes {
			key := func() string { return at(at("zone", i, "target_prefixes"), j, "") }
			if p, ok := c.prefix(key, text); ok {
				all = append(all, placedPrefix{p, key})
			}
		}
	}
	c.checkOverlaps(all)
}

func (c *checker) checkBlocks() {
	all := make([]placedPrefix, 0, len(c.b.Blocks))
	for i, block := range c.b.Blocks {
		key := func() string { return c.blockKey(i, "prefix") }
		if p, ok := c.prefix(key, block.Prefix); ok {
			all = append(all, placedPrefix{p, key})
		}
		if _, ok := c.zones[block.AvailabilityZone]; !ok {
			c.unknownZone(c.blockKey(i, "zone"), block.AvailabilityZone)
		}
	}
	c.checkOverlaps(all)
}

func (c *checker) unknownZone(key, zone string) {
	if zone == "" {
		c.add(key, "availability zone is missing")
		return
	}
	c.add(key, "availability zone %q does not exist", zone)
}

func (c *checker) prefix(key func() string, text string) (netip.Prefix, bool) {
	p, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		c.add(key(), "%q is not an IP prefix such as 10.1.0.0/16", text)
	case p.Addr().Is4In6():
		c.add(key(), "%q must be written as an IPv4 prefix", text)
	case p != p.Masked():
		c.add(key(), "%q has address bits beyond its length, write %s", text, p.Masked())
	case p.String() != text:
		c.add(key(), "%q must be written as %s", text, p)
	default:
		return p, true
	}
	return p, false
}

// checkOverlaps sorts prefixes by address, so that a prefix that overlaps
// others comes directly before them.
func (c *checker) checkOverlaps(all []placedPrefix) {
	slices.SortFunc(all, func(x, y placedPrefix) int {
		return cmp.Or(x.prefix.Addr().Compare(y.prefix.Addr()), cmp.Compare(x.prefix.Bits(), y.prefix.Bits()))
	})
	var outer placedPrefix
	for _, p := range all {
		if outer.key != nil && outer.prefix.Overlaps(p.prefix) {
			c.add(p.key(), "%s overlaps %s at %s", p.prefix, outer.prefix, outer.key())
			continue
		}
		outer = p
	}
}
