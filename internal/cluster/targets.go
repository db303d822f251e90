package cluster

import (
	"slices"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// startTargets starts the targets of each service and distributes them over the
// selected zones round-robin.
func (c *Cluster) startTargets() error {
	zones := c.targetZones()
	number := map[string]int{} // targets started, by zone
	for i, s := range c.Bundle.Services {
		for k := range c.options.Targets[s.Name] {
			z := zones[k%len(zones)]
			number[z.Name]++
			if err := c.startTarget(z, s, number[z.Name], c.options.Seed+uint64(1000*i+k)); err != nil {
				return err
			}
		}
	}
	return nil
}

// targetZones returns the zones listed in Options.Zones, or all if none are listed.
func (c *Cluster) targetZones() []bundle.AvailabilityZone {
	if len(c.options.Zones) == 0 {
		return c.Bundle.Zones
	}
	return slices.DeleteFunc(slices.Clone(c.Bundle.Zones), func(z bundle.AvailabilityZone) bool {
		return !slices.Contains(c.options.Zones, z.Name)
	})
}

// startTarget starts the target with the given number in zone z; it announces
// itself to all entry hosts of the zone.
func (c *Cluster) startTarget(z bundle.AvailabilityZone, s bundle.Service, number int, seed uint64) error {
	config := standin.Config{
		Address: standin.AddressIn(z, 10+number),
		Service: s.Name, Zone: z.Name, Slots: s.Slots, Connections: s.Connections,
		MeanWork: c.options.MeanWork, Seed: seed,
	}
	for _, h := range c.Bundle.Hosts {
		if h.Role == bundle.RoleEntry && h.AvailabilityZone == z.Name {
			config.Entries = append(config.Entries, h.HTTP)
		}
	}
	if c.options.Target != nil {
		c.options.Target(&config)
	}
	t, err := standin.Start(config)
	if err != nil {
		return err
	}
	c.Targets = append(c.Targets, t)
	return nil
}
