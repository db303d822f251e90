package steer

import (
	"cmp"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// ZoneOrder returns the availability zones in the order in which a request that arrives
// in zone tries them: the zone itself, the rest of its region, then other regions by
// link latency. Drained zones and regions come last, in the same order, so that a
// caller still gets an answer if nothing else is left.
func ZoneOrder(b *bundle.Bundle, zone string) []string {
	home := regionOf(b, zone)
	type rankedZone struct {
		name      string
		drained   bool
		latencyMs float64 // one way; 0 for the zone itself
	}
	ranked := make([]rankedZone, 0, len(b.Zones))
	for _, z := range b.Zones {
		ranked = append(ranked, rankedZone{z.Name, drained(b, z), latency(b, home, zone, z)})
	}
	slices.SortStableFunc(ranked, func(x, y rankedZone) int {
		if x.drained != y.drained {
			if x.drained {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.latencyMs, y.latencyMs)
	})
	names := make([]string, len(ranked))
	for i, p := range ranked {
		names[i] = p.name
	}
	return names
}

// latency returns the one-way latency in milliseconds from zone, in region home, to z.
func latency(b *bundle.Bundle, home, zone string, z bundle.AvailabilityZone) float64 {
	const noLinkLatency = 1e9 // ms; puts regions without a link last
	switch {
	case z.Name == zone:
		return 0
	case z.Region == home:
		for _, r := range b.Regions {
			if r.Name == home && r.ZoneLatencyMs > 0 {
				return r.ZoneLatencyMs
			}
		}
		return 0.5 // ms; used if the bundle sets no zone_latency_ms for the region
	}
	for _, l := range b.Links {
		if l.Regions == [2]string{home, z.Region} || l.Regions == [2]string{z.Region, home} {
			return max(l.LatencyMs, 1)
		}
	}
	return noLinkLatency
}

// regionOf returns the region of a zone, or an empty string if the zone is unknown.
func regionOf(b *bundle.Bundle, zone string) string {
	for _, z := range b.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// drained reports whether a zone or its region is drained.
func drained(b *bundle.Bundle, z bundle.AvailabilityZone) bool {
	return slices.ContainsFunc(b.Drains, func(d bundle.Drain) bool {
		return d.Kind == bundle.DrainZone && d.Name == z.Name || d.Kind == bundle.DrainRegion && d.Name == z.Region
	})
}

func hostDrained(b *bundle.Bundle, host string) bool {
	return slices.Contains(b.Drains, bundle.Drain{Kind: bundle.DrainHost, Name: host})
}
