package roster

import (
	"maps"
	"slices"
)

// SetServices sets the services that the policy names. With none, which means that they are
// unknown, every announcement counts. It reports whether the services changed.
func (r *Roster) SetServices(names []string) bool {
	var services map[string]bool
	if len(names) > 0 {
		services = map[string]bool{}
	}
	for _, name := range names {
		services[name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(services, r.services) {
		return false
	}
	r.services = services
	for _, t := range r.targets {
		if unnamed := !r.names(t.Service); unnamed != t.Unnamed {
			t.Unnamed = unnamed
			r.markChanged(t)
		}
	}
	for _, t := range slices.Collect(maps.Values(r.shadowed)) {
		r.unshadow(t)
	}
	for address := range r.addresses {
		r.settle(address)
	}
	return true
}

// names reports whether the policy names a service. The caller holds mu.
func (r *Roster) names(service string) bool { return r.services == nil || r.services[service] }

// Contradicts reports whether an announcement is for a service that the policy does not name
// although the policy names that of the target.
func (r *Roster) Contradicts(a *Announcement) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, known := r.targets[a.Name]
	return known && r.names(t.Service) && !r.names(a.Service)
}

// takesOver reports whether t gets the name that old has for another service: if the policy
// names only the service of t, or if it makes no difference and t is newer. The caller holds mu.
func (r *Roster) takesOver(t, old *Target) bool {
	if named := r.names(t.Service); named != r.names(old.Service) {
		return named
	}
	return t.newerThan(&old.Announcement)
}

// shadow keeps a target aside, unless a newer announcement of the name is kept already. The
// caller holds mu.
func (r *Roster) shadow(t *Target) {
	old, known := r.shadowed[t.Name]
	if !known || !old.newerThan(&t.Announcement) {
		r.shadowed[t.Name] = t
	}
}

// unshadow gives a target that was kept aside its name if it now takes over. The caller
// holds mu.
func (r *Roster) unshadow(t *Target) {
	old, known := r.targets[t.Name]
	if known && !r.takesOver(t, old) {
		return
	}
	delete(r.shadowed, t.Name)
	if known {
		r.remove(old)
		r.shadow(old)
	}
	r.add(t)
}

// Counts is the number of targets that get no requests for a reason outside of them.
type Counts struct {
	Unnamed    int // the policy does not name their service
	Superseded int // another target announces their address
}

// Counts returns the present numbers.
func (r *Roster) Counts() Counts {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var c Counts
	for _, t := range r.targets {
		if t.Unnamed {
			c.Unnamed++
		}
		if t.Superseded {
			c.Superseded++
		}
	}
	return c
}
