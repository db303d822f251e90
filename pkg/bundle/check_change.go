package bundle

import "github.com/hornbeamstack/hornbeamstack/pkg/finding"

// Check checks the content of next and the transition from the previous version
// to it. previous must already have been checked; it is nil for version 1.
func Check(next, previous *Bundle) finding.List {
	c := newChecker(next.Deployment, next, recordKey(next))
	c.previous = previous
	c.run()
	found := c.found
	if previous == nil {
		if next.Version != 1 {
			found.Add(next.Deployment, 0, "version", "the first version must be 1, not %d", next.Version)
		}
		return found
	}
	if next.Version != previous.Version+1 {
		found.Add(next.Deployment, 0, "version", "must be %d, not %d", previous.Version+1, next.Version)
	}
	if next.Deployment != previous.Deployment {
		found.Add(next.Deployment, 0, "deployment", "cannot change from %q", previous.Deployment)
	}
	for zone, changed := range VoterChanges(next, previous) {
		// Two voter lists that differ by more than one host can have disjoint majorities.
		if len(changed) > 1 {
			found.Add(next.Deployment, 0, "host", "zone %q: entry hosts %v change at once; change one host in each version", zone, changed)
		}
	}
	sortFindings(found)
	return found
}

// VoterChanges returns, for each zone, the names of the entry hosts that were
// added, removed or given another peer address. Zones without entry hosts in one
// of the versions are left out, since only one of the versions has a majority
// there.
func VoterChanges(next, previous *Bundle) map[string][]string {
	old, cur := votersOf(previous), votersOf(next)
	changes := map[string][]string{}
	for zone, voters := range cur {
		if len(old[zone]) == 0 {
			continue
		}
		for name, addr := range voters {
			if old[zone][name] != addr {
				changes[zone] = append(changes[zone], name)
			}
		}
		for name := range old[zone] {
			if _, ok := voters[name]; !ok {
				changes[zone] = append(changes[zone], name)
			}
		}
		if names := changes[zone]; names != nil {
			changes[zone] = sorted(names)
		}
	}
	return changes
}

// votersOf returns the peer addresses of the entry hosts, by zone and host name.
func votersOf(b *Bundle) map[string]map[string]string {
	voters := map[string]map[string]string{}
	for _, h := range b.Hosts {
		if h.Role != RoleEntry {
			continue
		}
		if voters[h.AvailabilityZone] == nil {
			voters[h.AvailabilityZone] = map[string]string{}
		}
		voters[h.AvailabilityZone][h.Name] = h.Peer
	}
	return voters
}
