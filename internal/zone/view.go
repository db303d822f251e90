package zone

import (
	"slices"
	"time"
)

// View is a snapshot of what the host knows about all zones.
type View struct {
	Coordinator string // of the host's own zone, "" if unknown
	Hosts       []HostView
	Zones       []AvailabilityZoneView
}

// HostView is the state of one entry host. For hosts of other zones, Spare is the
// mean of their zone. Heard is zero if nothing was ever received about the zone.
type HostView struct {
	Name             string
	AvailabilityZone string
	Spare            int // weight for look-ups; 0 for a leaving or silent host
	Leaving          bool
	Silent           bool
	Heard            time.Time
}

// AvailabilityZoneView holds the state of one zone as of Heard.
type AvailabilityZoneView struct {
	Name        string
	Coordinator string
	Heard       time.Time
	Services    map[string]ServiceView
}

// ServiceView holds the counts of a service in one zone.
type ServiceView struct {
	Targets     int
	Slots       int
	Free        int
	Outstanding int
	Queued      int
	Suspect     int
}

// View returns what the host knows now, for look-ups and status.
func (z *Zone) View() View {
	l, now := z.layout(), z.cfg.Now()
	v := View{Coordinator: z.coordinatorHint()}
	for _, zone := range l.zones {
		e, _ := z.directory.summaryEntry(zone)
		v.Zones = append(v.Zones, zoneView(zone, e))
		if zone == z.cfg.AvailabilityZone {
			v.Hosts = append(v.Hosts, z.ownHosts(l, now)...)
			continue
		}
		for _, name := range l.hosts[zone] {
			v.Hosts = append(v.Hosts, otherHost(name, zone, e, l.drained[name]))
		}
	}
	return v
}

func zoneView(zone string, e summaryEntry) AvailabilityZoneView {
	v := AvailabilityZoneView{Name: zone, Coordinator: e.Coordinator, Heard: e.heard, Services: map[string]ServiceView{}}
	for _, f := range e.Services {
		v.Services[f.Name] = ServiceView{
			Targets: f.Targets, Slots: f.Slots, Free: f.Free,
			Outstanding: f.Outstanding, Queued: f.Queued, Suspect: f.Suspect,
		}
	}
	return v
}

func otherHost(name, zone string, e summaryEntry, drained bool) HostView {
	h := HostView{
		Name: name, AvailabilityZone: zone, Spare: e.Spare, Heard: e.heard,
		Leaving: drained || slices.Contains(e.Leaving, name), Silent: slices.Contains(e.Silent, name),
	}
	if h.Leaving || h.Silent {
		h.Spare = 0
	}
	return h
}

func (z *Zone) ownHosts(l *layout, now time.Time) []HostView {
	zone := z.cfg.AvailabilityZone
	z.directory.mu.Lock()
	states, heard := z.directory.hosts, z.directory.hostsHeard
	z.directory.mu.Unlock()
	byName := map[string]hostState{}
	for _, s := range states {
		byName[s.Name] = s
	}
	var out []HostView
	for _, name := range l.hosts[zone] {
		s := byName[name]
		h := HostView{Name: name, AvailabilityZone: zone, Spare: s.Spare, Leaving: s.Leaving, Silent: s.Silent, Heard: heard}
		if name == z.cfg.Host {
			// The host knows its own state, even before the first heartbeat.
			h.Heard, h.Silent, h.Leaving = now, false, z.leaving.Load() || l.drained[name]
			h.Spare = spare(int(z.inFlight.Load()))
		}
		if h.Leaving || h.Silent {
			h.Spare = 0
		}
		out = append(out, h)
	}
	return out
}
