package node

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// headroom returns unused fractions, 0 to 1: of the slots in this zone for each
// service, and of this host's share of each link by remote region and direction.
func (e *Entry) headroom() map[string]float64 {
	out := map[string]float64{}
	for _, z := range e.zone.View().Zones {
		if z.Name != e.settings.AvailabilityZone {
			continue
		}
		for name, s := range z.Services {
			if s.Slots > 0 {
				out["slots."+name] = float64(s.Free) / float64(s.Slots)
			}
		}
	}
	region := e.directory.Region()
	for _, l := range linksOf(e.bundle()) {
		other := l.Regions[0]
		if other == region {
			other = l.Regions[1]
		} else if l.Regions[1] != region {
			continue
		}
		for _, d := range []traffic.Direction{traffic.Outbound, traffic.Inbound} {
			out["link."+other+"."+d.String()] = e.limiter.headroom(other, d)
		}
	}
	return out
}
