package bundle

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
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

// placedPrefix is a prefix with its place in a list.
type placedPrefix struct {
	prefix netip.Prefix
	place  int
}

func (c *checker) checkTargetPrefixes() {
	var all []placedPrefix
	var keys []string
	for i, z := range c.b.Zones {
		for j, text := range z.TargetPrefixes {
			keys = append(keys, at(at("zone", i, "target_prefixes"), j, ""))
			if p, ok := c.prefix(text, keys[len(keys)-1]); ok {
				all = append(all, placedPrefix{p, len(keys) - 1})
			}
		}
	}
	c.checkOverlaps(all, func(i int) string { return keys[i] })
}

func (c *checker) checkBlocks() {
	all := make([]placedPrefix, 0, len(c.b.Blocks))
	for i := range c.b.Blocks {
		if p, ok := c.block(i); ok {
			all = append(all, placedPrefix{p, i})
		}
	}
	c.checkOverlaps(all, c.prefixKey)
}

// block checks one block by itself.
func (c *checker) block(i int) (netip.Prefix, bool) {
	block := &c.b.Blocks[i]
	if _, ok := c.zones[block.AvailabilityZone]; !ok {
		c.unknownZone(c.blockKey(i, "zone"), block.AvailabilityZone)
	}
	p, problem := parsePrefix(block.Prefix)
	if problem != "" {
		c.add(c.prefixKey(i), "%s", problem)
	}
	return p, problem == ""
}

func (c *checker) prefixKey(i int) string { return c.blockKey(i, "prefix") }

func (c *checker) unknownZone(key, zone string) {
	if zone == "" {
		c.add(key, "availability zone is missing")
		return
	}
	c.add(key, "availability zone %q does not exist", zone)
}

func (c *checker) prefix(text, key string) (netip.Prefix, bool) {
	p, problem := parsePrefix(text)
	if problem != "" {
		c.add(key, "%s", problem)
	}
	return p, problem == ""
}

// parsePrefix parses a prefix in its one canonical spelling or says what is wrong with it.
func parsePrefix(text string) (netip.Prefix, string) {
	p, err := netip.ParsePrefix(text)
	var canonical [64]byte
	switch {
	case err != nil:
		return p, strconv.Quote(text) + " is not an IP prefix such as 10.1.0.0/16"
	case p.Addr().Is4In6():
		return p, strconv.Quote(text) + " must be written as an IPv4 prefix"
	case p != p.Masked():
		return p, strconv.Quote(text) + " has address bits beyond its length, write " + p.Masked().String()
	case string(p.AppendTo(canonical[:0])) != text:
		return p, strconv.Quote(text) + " must be written as " + p.String()
	}
	return p, ""
}

// checkOverlaps sorts prefixes by address, so that a prefix that overlaps
// others comes directly before them.
func (c *checker) checkOverlaps(all []placedPrefix, key func(place int) string) {
	slices.SortFunc(all, func(x, y placedPrefix) int {
		return cmp.Or(x.prefix.Addr().Compare(y.prefix.Addr()), cmp.Compare(x.prefix.Bits(), y.prefix.Bits()))
	})
	outer := 0
	for i := 1; i < len(all); i++ {
		if all[outer].prefix.Overlaps(all[i].prefix) {
			c.add(key(all[i].place), "%s overlaps %s at %s", all[i].prefix, all[outer].prefix, key(all[outer].place))
			continue
		}
		outer = i
	}
}
