package zone

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

// layout indexes the part of a bundle that zone coordination reads. It is built
// once for each version.
type layout struct {
	bundle   *bundle.Bundle
	zones    []string            // all zones, sorted
	hosts    map[string][]string // entry hosts of a zone, sorted
	peer     map[string]string   // peer address of a host
	zoneOf   map[string]string   // zone of a host
	regionOf map[string]string   // region of a zone
	prefixes map[string][]netip.Prefix
	drained  map[string]bool      // hosts
	former   map[string]time.Time // hosts only in earlier bundles, and until when they may hold permits
}

// newLayout indexes a bundle. Hosts that only earlier bundles listed may still
// hold permits for a while, so a recovery asks them as well.
func newLayout(now time.Time, b *bundle.Bundle, previous *layout) *layout {
	l := indexBundle(b)
	if previous == nil {
		return l
	}
	for host, until := range previous.former {
		l.keepFormer(previous, host, until)
	}
	hold := previous.policy("").HoldLimit() + zonelease.LeaseDuration
	for host := range previous.zoneOf {
		l.keepFormer(previous, host, now.Add(hold))
	}
	return l
}

// keepFormer keeps a host of the previous layout as a former one, unless the
// current bundle lists it.
func (l *layout) keepFormer(previous *layout, host string, until time.Time) {
	if _, listed := l.zoneOf[host]; !listed {
		l.former[host], l.peer[host] = until, previous.peer[host]
	}
}

func indexBundle(b *bundle.Bundle) *layout {
	l := &layout{
		bundle: b, hosts: map[string][]string{}, peer: map[string]string{}, zoneOf: map[string]string{},
		regionOf: map[string]string{}, prefixes: map[string][]netip.Prefix{}, drained: map[string]bool{},
		former: map[string]time.Time{},
	}
	if b == nil {
		l.bundle = &bundle.Bundle{}
		return l
	}
	for _, z := range b.Zones {
		l.zones = append(l.zones, z.Name)
		l.regionOf[z.Name] = z.Region
		for _, text := range z.TargetPrefixes {
			if p, err := netip.ParsePrefix(text); err == nil {
				l.prefixes[z.Name] = append(l.prefixes[z.Name], p)
			}
		}
	}
	slices.Sort(l.zones)
	l.addHosts(b)
	return l
}

func (l *layout) addHosts(b *bundle.Bundle) {
	for _, h := range b.Hosts {
		if h.Role != bundle.RoleEntry {
			continue
		}
		l.hosts[h.AvailabilityZone] = append(l.hosts[h.AvailabilityZone], h.Name)
		l.peer[h.Name], l.zoneOf[h.Name] = h.Peer, h.AvailabilityZone
	}
	for _, names := range l.hosts {
		slices.Sort(names)
	}
	for _, d := range b.Drains {
		if d.Kind == bundle.DrainHost {
			l.drained[d.Name] = true
		}
	}
}

// holders returns the entry hosts that may hold permits at now.
func (l *layout) holders(now time.Time) []string {
	var all []string
	for host, until := range l.former {
		if now.Before(until) {
			all = append(all, host)
		}
	}
	for _, zone := range l.zones {
		all = append(all, l.hosts[zone]...)
	}
	return all
}

// regionZones returns the other zones in the region of a zone.
func (l *layout) regionZones(zone string) []string {
	return slices.DeleteFunc(slices.Clone(l.zones), func(z string) bool {
		return z == zone || l.regionOf[z] != l.regionOf[zone]
	})
}

// remoteZones returns the zones of other regions, nearest first.
func (l *layout) remoteZones(zone string) []string {
	region := l.regionOf[zone]
	remote := slices.DeleteFunc(slices.Clone(l.zones), func(z string) bool { return l.regionOf[z] == region })
	slices.SortStableFunc(remote, func(a, b string) int {
		x, y := l.latency(region, l.regionOf[a]), l.latency(region, l.regionOf[b])
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return remote
}

// latency returns the latency of the link between two regions in milliseconds, or
// infinity if the bundle lists no such link.
func (l *layout) latency(a, b string) float64 {
	for _, link := range l.bundle.Links {
		if link.Regions == [2]string{a, b} || link.Regions == [2]string{b, a} {
			return link.LatencyMs
		}
	}
	return math.Inf(1)
}

// policy returns the limits and drains that apply to the pool of a zone.
func (l *layout) policy(zone string) slots.Policy {
	p := slots.Policy{Services: map[string]slots.Limits{}, DrainedTargets: map[string]bool{}}
	for _, s := range l.bundle.Services {
		p.Services[s.Name] = slots.Limits{
			Slots:   s.Slots,
			WarmUp:  time.Duration(s.WarmUpMs) * time.Millisecond,
			Timeout: time.Duration(s.RequestTimeoutMs) * time.Millisecond,
		}
	}
	for _, d := range l.bundle.Drains {
		switch {
		case d.Kind == bundle.DrainTarget:
			p.DrainedTargets[d.Name] = true
		case d.Kind == bundle.DrainZone && d.Name == zone, d.Kind == bundle.DrainRegion && d.Name == l.regionOf[zone]:
			p.Drained = true
		}
	}
	return p
}
