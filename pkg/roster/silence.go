package roster

import "time"

// MarkSilent marks the targets without an announcement for longer than overdue as
// silent, and returns the names of those that were not marked before.
func (r *Roster) MarkSilent(now, overdue time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, t := range r.targets {
		if !t.Silent && now-t.LastHeard > overdue {
			r.setSilent(t, true)
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
		r.remove(t)
	}
	for name, t := range r.shadowed {
		if now-t.LastHeard >= r.retention {
			delete(r.shadowed, name)
		}
	}
	return names
}

// setSilent marks a target as silent or not. The caller holds mu.
func (r *Roster) setSilent(t *Target, silent bool) {
	t.Silent = silent
	r.markChanged(t)
	r.settle(t.Address)
}
