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
	shadowed       map[string]*Target // by name: announcements for another service than that of the target, see Apply
	services       map[string]bool    // that the policy names, nil if unknown
	addresses      addressClaims
	departures     map[string]Life // by target name: this life and all earlier ones are leaving
	departureOrder []string        // keys of departures, oldest first
	revision       uint64          // number of changes so far
	retention      time.Duration   // time without an announcement after which a target is forgotten
}

// New returns an empty roster that forgets targets without an announcement for
// forgetAfter.
func New(forgetAfter time.Duration) *Roster {
	return &Roster{targets: map[string]*Target{}, shadowed: map[string]*Target{}, addresses: addressClaims{},
		departures: map[string]Life{}, retention: forgetAfter}
}

// Revision returns the number of changes so far that must be sent to other hosts.
func (r *Roster) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Apply records an announcement, received from the target or from another host. It
// reports whether the roster changed in a way that must be sent to other hosts.
//
// An announcement for a service that the policy does not name may come from another writer
// and changes nothing about a target whose service the policy names. It is kept aside, as
// the policy may come to name the service.
func (r *Roster) Apply(now time.Duration, report Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := newTarget(now, report)
	old, known := r.targets[t.Name]
	if !known {
		r.add(t)
		return true
	}
	if old.Service == t.Service {
		return r.update(old, t)
	}
	if !r.takesOver(t, old) {
		r.shadow(t)
		return false
	}
	r.remove(old)
	r.shadow(old)
	r.add(t)
	return true
}

// newTarget returns the target that a report describes.
func newTarget(now time.Duration, report Report) *Target {
	heard := max(now-report.Age, 0)
	t := &Target{Announcement: report.Announcement, LastHeard: heard, Joined: heard, Silent: report.Silent}
	if t.ColdFor > 0 {
		t.ColdUntil = heard + t.ColdFor
	}
	return t
}

// add enters a target under a name that no other has. The caller holds mu.
func (r *Roster) add(t *Target) {
	if left, ok := r.departures[t.Name]; ok && t.Life <= left {
		t.Leaving = true
	}
	t.Unnamed = !r.names(t.Service)
	r.targets[t.Name] = t
	r.addresses.add(t)
	r.markChanged(t)
	r.settle(t.Address)
}

// remove drops a target. The caller holds mu.
func (r *Roster) remove(t *Target) {
	delete(r.targets, t.Name)
	r.addresses.remove(t)
	r.settle(t.Address)
}

// update replaces old by a newer announcement for the same service. It reports whether that
// must be sent to other hosts. The caller holds mu.
func (r *Roster) update(old, t *Target) bool {
	if !t.newerThan(&old.Announcement) {
		return r.refresh(old, t)
	}
	if old.Life != t.Life {
		r.remove(old)
		r.add(t)
		return true
	}
	t.Joined = old.Joined
	t.Leaving = t.Leaving || old.Leaving
	t.LastHeard = max(old.LastHeard, t.LastHeard)
	if differsMaterially(old, t) {
		r.remove(old)
		r.add(t)
		return true
	}
	t.Unnamed, t.Superseded, t.revision = old.Unnamed, old.Superseded, old.revision
	r.targets[t.Name] = t
	return false
}

// refresh updates old from a repetition of its announcement. The caller holds mu.
func (r *Roster) refresh(old, t *Target) bool {
	if t.Life != old.Life || t.Sequence != old.Sequence {
		return false
	}
	old.LastHeard = max(old.LastHeard, t.LastHeard)
	if old.Silent == t.Silent {
		return false
	}
	r.setSilent(old, t.Silent)
	return true
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
	if t, ok := r.shadowed[name]; ok && t.Life <= life {
		t.Leaving = true
	}
	if t, ok := r.targets[name]; ok && t.Life <= life && !t.Leaving {
		t.Leaving = true
		r.markChanged(t)
		r.settle(t.Address)
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

// NewReport returns the report of a target for another host.
func NewReport(t *Target, now time.Duration) Report {
	report := Report{Announcement: t.Announcement, Age: now - t.LastHeard, Silent: t.Silent}
	report.ColdFor = 0
	if t.Cold(now) {
		report.ColdFor = t.ColdUntil - t.LastHeard
	}
	return report
}
