package roster

import (
	"sync"
	"time"
)

const (
	// coldTolerance is the largest shift of the end of a warm-up that is not sent to
	// other hosts.
	coldTolerance = 300 * time.Millisecond
	// maxDepartures limits the targets whose departures are remembered.
	maxDepartures = 8192
)

// Roster is the set of known targets. It is safe for concurrent use.
type Roster struct {
	mu             sync.RWMutex
	targets        map[string]*Target
	addresses      map[string]string // target name by address
	departures     map[string]Life   // by target name: this life and all earlier ones are leaving
	departureOrder []string          // keys of departures, oldest first
	revision       uint64            // number of changes so far
	retention      time.Duration     // time without an announcement after which a target is forgotten
}

// New returns an empty roster that forgets targets without an announcement for
// forgetAfter.
func New(forgetAfter time.Duration) *Roster {
	return &Roster{targets: map[string]*Target{}, addresses: map[string]string{}, departures: map[string]Life{},
		retention: forgetAfter}
}

// Revision returns the number of changes so far that must be sent to other hosts.
func (r *Roster) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Apply records an announcement, received from the target or from another host. It
// reports whether the roster changed in a way that must be sent to other hosts.
func (r *Roster) Apply(now time.Duration, report Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := report.Announcement
	heard := max(now-report.Age, 0)
	old, known := r.targets[a.Name]
	if known && !a.newerThan(&old.Announcement) {
		if a.Life != old.Life || a.Sequence != old.Sequence {
			return false
		}
		old.LastHeard = max(old.LastHeard, heard)
		if old.Silent == report.Silent {
			return false
		}
		old.Silent = report.Silent
		r.markChanged(old)
		return true
	}
	if left, ok := r.departures[a.Name]; ok && a.Life <= left {
		a.Leaving = true
	}
	t := &Target{Announcement: a, LastHeard: heard, Joined: heard, Silent: report.Silent, revision: r.revision}
	if a.ColdFor > 0 {
		t.ColdUntil = heard + a.ColdFor
	}
	changed := true
	if known && old.Life == a.Life {
		t.Joined = old.Joined
		t.Leaving = t.Leaving || old.Leaving
		t.LastHeard = max(old.LastHeard, heard)
		changed = differsMaterially(old, t)
		t.revision = old.revision
	}
	r.targets[a.Name] = t
	if changed {
		r.markChanged(t)
		r.claimAddress(t, old)
	}
	return changed
}

// claimAddress assigns the address of t to it. The target that held the address before
// is marked as leaving, unless it has the later life: then t is. The caller holds mu.
func (r *Roster) claimAddress(t, old *Target) {
	if old != nil && old.Address != t.Address && r.addresses[old.Address] == t.Name {
		delete(r.addresses, old.Address)
	}
	holder, ok := r.targets[r.addresses[t.Address]]
	if ok && holder.Name != t.Name {
		if holder.Life > t.Life {
			t.Leaving = true // late announcement: a target that started later holds the address
			return
		}
		holder.Leaving = true
		r.markChanged(holder)
	}
	r.addresses[t.Address] = t.Name
}

// differsMaterially reports whether t differs from old in a way that must be sent to
// other hosts.
func differsMaterially(old, t *Target) bool {
	drift := t.ColdUntil - old.ColdUntil
	return old.Service != t.Service || old.Address != t.Address || old.Zone != t.Zone || old.Slots != t.Slots ||
		old.Leaving != t.Leaving || old.Silent != t.Silent || drift > coldTolerance || drift < -coldTolerance
}

// markChanged gives t a new revision. The caller holds mu.
func (r *Roster) markChanged(t *Target) {
	r.revision++
	t.revision = r.revision
}

// Leave marks the given life of a target and all earlier ones as leaving.
func (r *Roster) Leave(name string, life Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.departures[name]
	if known && old >= life {
		return
	}
	if !known {
		r.departureOrder = append(r.departureOrder, name)
	}
	r.departures[name] = life
	if len(r.departureOrder) > maxDepartures {
		delete(r.departures, r.departureOrder[0])
		r.departureOrder = r.departureOrder[1:]
	}
	if t, ok := r.targets[name]; ok && t.Life <= life && !t.Leaving {
		t.Leaving = true
		r.markChanged(t)
	}
}

// Find returns a target by name, and whether it is known.
func (r *Roster) Find(name string) (Target, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.targets[name]
	if !ok {
		return Target{}, false
	}
	return *t, true
}

// Since returns the targets that changed after a revision, and the current revision.
func (r *Roster) Since(revision uint64) ([]Target, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Target
	for _, t := range r.targets {
		if t.revision > revision {
			list = append(list, *t)
		}
	}
	return list, r.revision
}

// All returns all targets, in no particular order.
func (r *Roster) All() []Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, *t)
	}
	return list
}

// MarkSilent marks the targets without an announcement for longer than overdue as
// silent, and returns the names of those that were not marked before.
func (r *Roster) MarkSilent(now, overdue time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, t := range r.targets {
		if !t.Silent && now-t.LastHeard > overdue {
			t.Silent = true
			r.markChanged(t)
			names = append(names, name)
		}
	}
	return names
}

// Forget drops the silent and the leaving targets without an announcement for the
// retention time, and returns their names. A host that is told only of changes hears
// nothing of the others.
func (r *Roster) Forget(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, t := range r.targets {
		if now-t.LastHeard < r.retention || !t.Silent && !t.Leaving {
			continue
		}
		names = append(names, name)
		delete(r.targets, name)
		if r.addresses[t.Address] == name {
			delete(r.addresses, t.Address)
		}
	}
	return names
}

// NewReport returns the report of a target for another host.
func NewReport(t *Target, now time.Duration) Report {
	report := Report{Announcement: t.Announcement, Age: now - t.LastHeard, Silent: t.Silent}
	report.ColdFor = 0
	if t.Cold(now) {
		report.ColdFor = t.ColdUntil - t.LastHeard
	}
	return report
}
