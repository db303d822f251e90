package node

import (
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/internal/links"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// directory implements entry.Directory on the bundle version in force.
type directory struct {
	zone  string // zone of this host
	state atomic.Pointer[directoryState]
}

// directoryState is the immutable index of one bundle version.
type directoryState struct {
	bundle   *bundle.Bundle
	version  uint64
	services map[string]bundle.Service
	entries  int    // number of entry hosts
	region   string // region of this host
}

// use switches to a new version.
func (d *directory) use(a *rollout.ActiveVersion) {
	s := &directoryState{bundle: a.Bundle, version: a.Version, services: map[string]bundle.Service{}}
	for _, svc := range a.Bundle.Services {
		s.services[svc.Name] = svc
	}
	for _, h := range a.Bundle.Hosts {
		if h.Role == bundle.RoleEntry {
			s.entries++
		}
	}
	for _, z := range a.Bundle.Zones {
		if z.Name == d.zone {
			s.region = z.Region
		}
	}
	d.state.Store(s)
}

// get returns the current index, which is empty before the first bundle.
func (d *directory) get() *directoryState {
	if s := d.state.Load(); s != nil {
		return s
	}
	return &directoryState{}
}

// Service implements entry.Directory.
func (d *directory) Service(name string) (bundle.Service, bool) {
	s, ok := d.get().services[name]
	return s, ok
}

// EntryHosts implements entry.Directory.
func (d *directory) EntryHosts() int { return d.get().entries }

// Region implements entry.Directory.
func (d *directory) Region() string { return d.get().region }

// linksOf returns the links of a bundle with their bandwidth and number of entry
// hosts, as the limiter and the allocator need them.
func linksOf(b *bundle.Bundle) []links.Link {
	if b == nil {
		return nil
	}
	regionOf := map[string]string{}
	for _, z := range b.Zones {
		regionOf[z.Name] = z.Region
	}
	hosts := map[string]int{}
	for _, h := range b.Hosts {
		if h.Role == bundle.RoleEntry {
			hosts[regionOf[h.AvailabilityZone]]++
		}
	}
	out := make([]links.Link, 0, len(b.Links))
	for _, l := range b.Links {
		out = append(out, links.Link{
			Regions: l.Regions, BytesPerSecond: l.MbitPerSecond * bytesPerMbit,
			Hosts: hosts[l.Regions[0]] + hosts[l.Regions[1]],
		})
	}
	return out
}
