package node

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// headroom reports the unused part of the slots of this zone by service, and of
// this host's link shares by other region and direction, as fractions.
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
