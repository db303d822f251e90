package bundle

import "net/netip"

func (c *checker) checkDrains() {
	seen := keyByValue{}
	hosts := map[string]bool{}
	for _, h := range c.b.Hosts {
		hosts[h.Name] = h.Role == RoleEntry
	}
	for i, d := range c.b.Drains {
		key := keyAt("drain", i, "name")
		c.unique(seen, key, string(d.Kind)+" "+d.Name)
		switch d.Kind {
		case DrainTarget:
			c.checkTargetDrain(key, d.Name)
		case DrainZone:
			if _, ok := c.zones[d.Name]; !ok {
				c.unknownZone(key, d.Name)
			}
		case DrainRegion:
			if !c.regions[d.Name] {
				c.add(key, "region %q does not exist", d.Name)
			}
		case DrainHost:
			if !hosts[d.Name] {
				c.add(key, "entry host %q does not exist", d.Name)
			}
		default:
			c.add(keyAt("drain", i, "kind"), "must be target, zone, region or host, not %q", d.Kind)
		}
	}
	c.checkEntryHostsRemain()
}

// checkTargetDrain checks that a drained target's address is valid and lies in
// the target prefixes of an availability zone.
func (c *checker) checkTargetDrain(key, name string) {
	if message := AddressProblem(name); message != "" {
		c.add(key, "%s", message)
		return
	}
	addr := netip.MustParseAddrPort(name).Addr()
	for _, z := range c.b.Zones {
		for _, text := range z.TargetPrefixes {
			if p, err := netip.ParsePrefix(text); err == nil && p.Contains(addr) {
				return
			}
		}
	}
	c.add(key, "target %s is in no availability zone's target prefixes", name)
}

// checkEntryHostsRemain checks that at least one entry host is not drained.
func (c *checker) checkEntryHostsRemain() {
	entries := 0
	for _, h := range c.b.Hosts {
		if h.Role != RoleEntry {
			continue
		}
		entries++
		if !c.b.HostDrained(&h) {
			return
		}
	}
	if entries > 0 {
		c.add("drain", "drains leave no entry host in service")
	}
}

// HostDrained reports whether the bundle drains the host, its availability zone
// or its region.
func (b *Bundle) HostDrained(h *Host) bool {
	region := ""
	for i := range b.Zones {
		if b.Zones[i].Name == h.AvailabilityZone {
			region = b.Zones[i].Region
		}
	}
	for _, d := range b.Drains {
		switch d.Kind {
		case DrainHost:
			if d.Name == h.Name {
				return true
			}
		case DrainZone:
			if d.Name == h.AvailabilityZone {
				return true
			}
		case DrainRegion:
			if d.Name == region {
				return true
			}
		}
	}
	return false
}
