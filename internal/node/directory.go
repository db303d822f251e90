package node

import (
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/internal/links"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// directory implements entry.Directory from the version in force.
type directory struct {
	zone  string // of this host
	state atomic.Pointer[directoryState]
}

// directoryState is the index of one version; it is never changed.
type directoryState struct {
	bundle   *bundle.Bundle
	version  uint64
	services map[string]bundle.Service
	entries  int
	region   string
}

// use indexes a new version.
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

// linksOf converts the links of a bundle for the limiter and the allocator.
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
