package bundle

import (
	"net/netip"
	"strconv"
)

// Numbers of control hosts that the agreement group is designed for.
const (
	smallControlGroup = 3
	largeControlGroup = 5
)

// minEntryZones keeps callers served when one availability zone is lost.
const minEntryZones = 2

func (c *checker) checkHosts() {
	names, addresses := duplicates{}, duplicates{}
	for i, h := range c.b.Hosts {
		key := at("host", i, "name")
		c.name(key, h.Name)
		c.unique(names, key, h.Name)
		if _, ok := c.zones[h.AvailabilityZone]; !ok {
			c.unknownZone(at("host", i, "zone"), h.AvailabilityZone)
		}
		if h.Role != RoleEntry && h.Role != RoleControl {
			c.add(at("host", i, "role"), "must be %q or %q, not %q", RoleEntry, RoleControl, h.Role)
		}
		c.address(addresses, at("host", i, "peer"), h.Peer)
		c.address(addresses, at("host", i, "http"), h.HTTP)
	}
}

func (c *checker) address(seen duplicates, key, text string) {
	if message := AddressProblem(text); message != "" {
		c.add(key, "%s", message)
		return
	}
	c.unique(seen, key, text)
}

// AddressProblem says what is wrong with an IP:port, or returns an empty text.
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

// checkSpread checks that no loss of one place takes away too much.
func (c *checker) checkSpread() {
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
		limit = total - 1 // with two regions one of them always holds a majority
	}
	for _, region := range c.b.Regions {
		if n := control[region.Name]; len(c.regions) > 1 && n > limit {
			c.add("host", "%d of %d control hosts are in region %q; its loss would stop roll-outs", n, total, region.Name)
		}
	}
}
