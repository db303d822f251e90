package links

import "github.com/hornbeamstack/hornbeamstack/pkg/link"

// Link is a pair of regions with a cap for each direction.
type Link struct {
	Regions        [2]string
	BytesPerSecond float64
	Hosts          int // entry hosts of both regions
}

func (l Link) routes() [2]link.Route {
	return [2]link.Route{{From: l.Regions[0], To: l.Regions[1]}, {From: l.Regions[1], To: l.Regions[0]}}
}

func (l Link) touches(region string) bool { return l.Regions[0] == region || l.Regions[1] == region }
