package bundle

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
)

// checkRegions checks the regions and records their names for later checks.
func (c *checker) checkRegions() {
	seen := keyByValue{}
	if len(c.b.Regions) == 0 {
		c.add("region", "at least one region is needed")
	}
	for i, r := range c.b.Regions {
		key := keyAt("region", i, "name")
		c.name(key, r.Name)
		c.unique(seen, key, r.Name)
		c.regions[r.Name] = true
		if r.ZoneLatencyMs < 0 {
			c.add(keyAt("region", i, "zone_latency_ms"), "must not be negative")
		}
		if r.CallerLatencyMs < 0 {
			c.add(keyAt("region", i, "caller_latency_ms"), "must not be negative")
		}
	}
}

// checkZones checks the availability zones and records their regions for later checks.
func (c *checker) checkZones() {
	seen := keyByValue{}
	for i, z := range c.b.Zones {
		key := keyAt("zone", i, "name")
		c.name(key, z.Name)
		c.unique(seen, key, z.Name)
		c.zones[z.Name] = z.Region
		switch {
		case z.Region == "":
			c.add(keyAt("zone", i, "region"), "is missing")
		case !c.regions[z.Region]:
			c.add(keyAt("zone", i, "region"), "region %q does not exist", z.Region)
		}
		if len(z.TargetPrefixes) == 0 {
			c.add(keyAt("zone", i, "target_prefixes"), "is missing; targets could not announce themselves")
		}
	}
}

// indexedPrefix is a prefix with its index in the list it comes from.
type indexedPrefix struct {
	prefix netip.Prefix
	index  int
}

// checkTargetPrefixes checks the target prefixes of all availability zones, which
// must not overlap each other.
func (c *checker) checkTargetPrefixes() {
	var all []indexedPrefix
	var keys []string
	for i, z := range c.b.Zones {
		for j, text := range z.TargetPrefixes {
			keys = append(keys, keyAt(keyAt("zone", i, "target_prefixes"), j, ""))
			if p, ok := c.prefix(text, keys[len(keys)-1]); ok {
				all = append(all, indexedPrefix{p, len(keys) - 1})
			}
		}
	}
	c.checkOverlaps(all, func(i int) string { return keys[i] })
}

// checkBlocks checks all caller blocks, which must not overlap each other.
func (c *checker) checkBlocks() {
	all := make([]indexedPrefix, 0, len(c.b.Blocks))
	for i := range c.b.Blocks {
		if p, ok := c.block(i); ok {
			all = append(all, indexedPrefix{p, i})
		}
	}
	c.checkOverlaps(all, c.prefixKey)
}

// block checks one caller block without regard to others. It returns the block's
// prefix and whether the prefix is valid.
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

// unknownZone adds the finding for a reference to an availability zone that is
// missing or does not exist.
func (c *checker) unknownZone(key, zone string) {
	if zone == "" {
		c.add(key, "availability zone is missing")
		return
	}
	c.add(key, "availability zone %q does not exist", zone)
}

// prefix parses a prefix and adds a finding if it is not valid.
func (c *checker) prefix(text, key string) (netip.Prefix, bool) {
	p, problem := parsePrefix(text)
	if problem != "" {
		c.add(key, "%s", problem)
	}
	return p, problem == ""
}

// parsePrefix parses a prefix that must be written in canonical form. It returns
// a description of the problem, or an empty text if there is none.
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

// checkOverlaps adds a finding for each prefix that overlaps an earlier one. It
// sorts the prefixes by address and length, so that a prefix comes directly
// before those that it contains.
func (c *checker) checkOverlaps(all []indexedPrefix, key func(index int) string) {
	slices.SortFunc(all, func(x, y indexedPrefix) int {
		return cmp.Or(x.prefix.Addr().Compare(y.prefix.Addr()), cmp.Compare(x.prefix.Bits(), y.prefix.Bits()))
	})
	outer := 0
	for i := 1; i < len(all); i++ {
		if all[outer].prefix.Overlaps(all[i].prefix) {
			c.add(key(all[i].index), "%s overlaps %s at %s", all[i].prefix, all[outer].prefix, key(all[outer].index))
			continue
		}
		outer = i
	}
}
