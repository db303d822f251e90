package bundle

import (
	"net/netip"
	"strconv"
)

// Supported numbers of control hosts, the voters of the agreement group.
const (
	smallControlGroup = 3
	largeControlGroup = 5
)

// minEntryZones is the minimum number of availability zones with entry hosts, so
// that callers are still served when one of these zones fails.
const minEntryZones = 2

func (c *checker) checkHosts() {
	names, addresses := keyByValue{}, keyByValue{}
	for i, h := range c.b.Hosts {
		key := keyAt("host", i, "name")
		c.name(key, h.Name)
		c.unique(names, key, h.Name)
		if _, ok := c.zones[h.AvailabilityZone]; !ok {
			c.unknownZone(keyAt("host", i, "zone"), h.AvailabilityZone)
		}
		if h.Role != RoleEntry && h.Role != RoleControl {
			c.add(keyAt("host", i, "role"), "must be %q or %q, not %q", RoleEntry, RoleControl, h.Role)
		}
		c.address(addresses, keyAt("host", i, "peer"), h.Peer)
		c.address(addresses, keyAt("host", i, "http"), h.HTTP)
	}
}

// address checks an IP:port that must be unique among those seen.
func (c *checker) address(seen keyByValue, key, text string) {
	if message := AddressProblem(text); message != "" {
		c.add(key, "%s", message)
		return
	}
	c.unique(seen, key, text)
}

// AddressProblem returns a description of what is wrong with an IP:port, or an
// empty text if it is valid.
func AddressProblem(text string) string {
	if text == "" {
		return "address is missing"
	}
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return strconv.Quote(text) + " is not an IP number with a port, such as 10.1.0.2:7000"
	case addr.Port() == 0:
		return strconv.Quote(text) + " has port 0"
	case addr.Addr().IsUnspecified():
		return strconv.Quote(text) + " is the unspecified address, which other hosts cannot reach"
	case addr.String() != text:
		return strconv.Quote(text) + " must be written as " + addr.String()
	}
	return ""
}

// checkHostPlacement checks the number of control hosts, that entry hosts are in
// several availability zones, and that the loss of one region leaves a majority
// of the control hosts. The last is impossible with two regions; there, no region
// may hold all control hosts.
func (c *checker) checkHostPlacement() {
	entryZones := map[string]bool{}
	control := map[string]int{}
	total := 0
	for _, h := range c.b.Hosts {
		switch h.Role {
		case RoleEntry:
			entryZones[h.AvailabilityZone] = true
		case RoleControl:
			control[c.zones[h.AvailabilityZone]]++
			total++
		}
	}
	if len(entryZones) < minEntryZones {
		c.add("host", "entry hosts are needed in at least %d availability zones, found %d", minEntryZones, len(entryZones))
	}
	if total != smallControlGroup && total != largeControlGroup {
		c.add("host", "%d or %d control hosts are needed, found %d", smallControlGroup, largeControlGroup, total)
	}
	limit := total / 2
	if len(c.regions) == 2 {
		limit = total - 1 // one of two regions always holds a majority
	}
	for _, region := range c.b.Regions {
		if n := control[region.Name]; len(c.regions) > 1 && n > limit {
			c.add("host", "%d of %d control hosts are in region %q; its loss would stop roll-outs", n, total, region.Name)
		}
	}
}
