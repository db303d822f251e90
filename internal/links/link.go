package links

import "github.com/hornbeamstack/hornbeamstack/pkg/link"

// Link joins two regions, with the same cap in each direction.
type Link struct {
	Regions        [2]string
	BytesPerSecond float64 // cap of one direction
	Hosts          int     // number of entry hosts in both regions
}

// routes returns both directions of the link.
func (l Link) routes() [2]link.Route {
	return [2]link.Route{{From: l.Regions[0], To: l.Regions[1]}, {From: l.Regions[1], To: l.Regions[0]}}
}

// hasRegion reports whether the region is one end of the link.
func (l Link) hasRegion(region string) bool { return l.Regions[0] == region || l.Regions[1] == region }
