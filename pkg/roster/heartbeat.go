package roster

import "time"

// Heartbeat is a short announcement of a target that has not changed since its last
// full one.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Life     Life
	Sequence uint64
	AgeMs    int64 // milliseconds since the announcement
}

// NewHeartbeat returns the heartbeat of a target for another host that already has
// the target's full announcement.
func NewHeartbeat(t *Target, now time.Duration) Heartbeat {
	return Heartbeat{Name: t.Name, Life: t.Life, Sequence: t.Sequence, AgeMs: (now - t.LastHeard).Milliseconds()}
}

// ApplyHeartbeat records a heartbeat. changed reports whether the roster changed in a
// way that must be sent to other hosts. known reports whether the roster holds this
// life of the target or a later one; if not, a full announcement is needed.
func (r *Roster) ApplyHeartbeat(now time.Duration, b Heartbeat) (changed, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[b.Name]
	if !ok || t.Life < b.Life {
		return false, false
	}
	if t.Life > b.Life || t.Sequence > b.Sequence {
		return false, true
	}
	t.Sequence = b.Sequence
	t.LastHeard = max(t.LastHeard, now-time.Duration(b.AgeMs)*time.Millisecond)
	if !t.Silent {
		return false, true
	}
	r.setSilent(t, false)
	return true, true
}
